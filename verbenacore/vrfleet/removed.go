package vrfleet

import "verbenaroute.example/verbenacore/vrid"

// maxRemovedServers is the number of removed servers that a daemon remembers. A restored store may list
// those of the last minutes again; a fleet of 300 servers that are all replaced each minute reaches this
// number after 13 minutes.
const maxRemovedServers = 4096

// removedServer is the last known registration of a server that was removed.
type removedServer struct {
	renewal
	draining bool
	// statedLeaving is set if a response stated that the process, or a later one with its id, leaves.
	statedLeaving bool
	// sequence orders the removals.
	sequence uint64
}

// removal is an entry in the order of the removals.
type removal struct {
	id       vrid.ServerID
	sequence uint64
}

// removedServers remembers the servers that were removed last, so that an entry from a copy of the
// store, or a repeated one, does not bring them back.
type removedServers struct {
	last     map[vrid.ServerID]removedServer
	order    []removal
	sequence uint64
}

// add remembers a server that is removed.
func (r *removedServers) add(server *Server) {
	r.sequence++
	r.last[server.ID] = removedServer{
		renewal: renewal{born: server.Born, beat: server.Beat}, draining: server.State == StateDraining,
		statedLeaving: server.statedLeaving || server.inDoubt, sequence: r.sequence,
	}
	r.order = append(r.order, removal{id: server.ID, sequence: r.sequence})
	if len(r.order) <= maxRemovedServers {
		return
	}
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.last[oldest.id].sequence == oldest.sequence {
		delete(r.last, oldest.id)
	}
}

// markDraining records that a process accepted no new work when its registration was removed, so that a
// renewed entry of it does not bring it back as ready. It reports whether that was not known before.
func (r *removedServers) markDraining(id vrid.ServerID, born int64) bool {
	last, known := r.last[id]
	if !known || last.draining || (born != 0 && born != last.born) {
		return false
	}
	last.draining = true
	r.last[id] = last
	return true
}

// recordLeavingResponse records that a response to a request that was sent to a removed server stated that
// it leaves.
func (r *removedServers) recordLeavingResponse(id vrid.ServerID) {
	if last, known := r.last[id]; known {
		last.statedLeaving = true
		r.last[id] = last
	}
}

// admit reports whether an entry shows that its server runs: nothing is known of its removal, or the
// entry is of a later process or renewed since. It makes the entry draining if the process was, and reports
// whether a response stated that the server leaves.
func (r *removedServers) admit(entry *Entry) (admitted, statedLeaving bool) {
	last, known := r.last[entry.ID]
	switch {
	case !known:
		return true, false
	case entry.Born < last.born, entry.Born == last.born && entry.Beat <= last.beat:
		return false, false
	case entry.Born == last.born && last.draining:
		entry.State = StateDraining
	}
	delete(r.last, entry.ID)
	return true, last.statedLeaving
}

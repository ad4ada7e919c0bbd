package vrledger

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Snapshot is a copy of the state of one server for the planner.
type Snapshot struct {
	Info ServerInfo
	// Free is the memory that no entry reserves.
	Free vrid.Bytes
	// Entries are copies; their Attempts must not be changed.
	Entries []Entry
	Report  *vrwire.LoadReport
	// Busy is set while a model or adapter is being loaded or unloaded.
	Busy bool
}

// Snapshots returns a snapshot of every server, sorted by server id.
func (l *Ledger) Snapshots() []Snapshot {
	snapshots := make([]Snapshot, 0, len(l.serverIDs))
	for _, id := range l.serverIDs {
		s := l.servers[id]
		snapshot := Snapshot{
			Info:   s.info,
			Free:   s.info.Memory - s.reserved(),
			Report: s.report,
			Busy:   s.orderConflict(false) != RefusalNone,
		}
		for _, entry := range s.entries {
			snapshot.Entries = append(snapshot.Entries, *entry)
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

// ServerItems returns every server as an item of the zone view, sorted by server id.
func (l *Ledger) ServerItems(zone vrid.ZoneID) []vrwire.ServerItem {
	items := make([]vrwire.ServerItem, 0, len(l.serverIDs))
	for _, id := range l.serverIDs {
		s := l.servers[id]
		item := vrwire.ServerItem{
			Server: id, Pool: s.info.Pool, Zone: zone, Address: s.info.Address,
			State: s.info.State, Slots: uint32(s.info.Slots),
		}
		if s.report != nil {
			item.Running = s.report.Running
			item.Waiting = s.report.Waiting
		}
		item.Replicas = s.replicaItems()
		items = append(items, item)
	}
	return items
}

// replicaItems returns the server's base models with their loaded adapters.
func (s *serverState) replicaItems() []vrwire.ReplicaItem {
	var items []vrwire.ReplicaItem
	for _, entry := range s.entries {
		if entry.Adapter != "" {
			continue
		}
		item := vrwire.ReplicaItem{Model: entry.Model, State: entry.State}
		for _, other := range s.entries {
			if other.Model == entry.Model && other.Adapter != "" && other.State == vrwire.ReplicaLoaded {
				item.Adapters = append(item.Adapters, other.Adapter)
			}
		}
		items = append(items, item)
	}
	return items
}

// BusyServers returns the servers with an entry that is being loaded or unloaded. They are
// polled for reports at a shorter interval.
func (l *Ledger) BusyServers() []vrid.ServerID {
	var ids []vrid.ServerID
	for _, id := range l.serverIDs {
		if l.servers[id].orderConflict(false) != RefusalNone {
			ids = append(ids, id)
		}
	}
	return ids
}

// Address returns a server's address, or "" if the server is not known.
func (l *Ledger) Address(id vrid.ServerID) string {
	if s, ok := l.servers[id]; ok {
		return s.info.Address
	}
	return ""
}

// ReportAge returns the time since the latest report of a server was received, or one hour
// if there is none.
func (l *Ledger) ReportAge(now time.Time, id vrid.ServerID) time.Duration {
	s, ok := l.servers[id]
	if !ok || s.report == nil {
		return time.Hour
	}
	return now.Sub(s.reportedAt)
}

// LatestReport returns the latest report of a server, or nil if there is none.
func (l *Ledger) LatestReport(id vrid.ServerID) *vrwire.LoadReport {
	if s, ok := l.servers[id]; ok {
		return s.report
	}
	return nil
}

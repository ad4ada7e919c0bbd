package vrgateworld

import (
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// Paces that servers state in percent of the usual time, and the number of seconds for which each is stated.
const (
	usualPace   = 100
	slowPace    = 250
	paceSeconds = 2
)

// daemon returns the daemon with an id, or nil.
func (w *World) daemon(id vrid.DaemonID) *Daemon {
	for _, d := range w.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// registerVersion records in the daemon's registration whether its version knows the hold of the lease.
func (s *Store) registerVersion(d *Daemon) {
	for i := range s.peers {
		if s.peers[i].Daemon == d.ID {
			s.peers[i].KnowsHold = !d.former
		}
	}
}

// dialPeer asks the process at a daemon's address who it is. Without a process the machine refuses the connection,
// a suspended one does not answer, nor does one of a former version, and a lost segment leaves the question without an
// answer.
func (p *Process) dialPeer(e vrevent.DialPeer) {
	w := p.world
	if w.chance(w.PeerLossRate) {
		w.After(unreachableAfter, func() { p.deliver(vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot}) })
		return
	}
	w.After(peerDelay+w.randomDuration(0, w.MaxPeerDelay), func() {
		receiver := w.daemon(e.Peer)
		replaced := receiver != nil && receiver.Process != nil && !receiver.former && !receiver.Process.paused && receiver.Process.boot != e.Boot
		w.After(peerDelay, func() { p.deliver(vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot, Replaced: replaced}) })
	})
}

// load returns the load that a response of the server states, or nil if the servers of the world state none.
func (s *Server) load(p *Process) *vrevent.ServerLoad {
	if !s.world.Options.SharesMachines {
		return nil
	}
	load := &vrevent.ServerLoad{Running: len(s.running), Slots: slotsPerServer, Pace: usualPace}
	if (s.world.Now().Unix()/paceSeconds+s.Born)%3 == 0 {
		load.Pace = slowPace
	}
	if p.Daemon.former {
		load.Slots, load.Pace = 0, 0
	}
	return load
}

// reportLoad tells the daemon of a send the load that the server states in the head of its response. A former
// daemon takes it from the end of the send only.
func (s *Server) reportLoad(a *Attempt) {
	if load := s.load(a.Call.Process); load != nil && !a.Call.Process.Daemon.former {
		a.Call.Process.reduce(vrevent.LoadReported{Server: s.ID, Born: s.Born, Load: *load})
	}
}

// asSeenBy returns a stored value as the daemon's version decodes it: a former one ignores the hold.
func asSeenBy(d *Daemon, key string, value []byte) []byte {
	if !d.former || key != vrplatform.KeyFleetLease {
		return value
	}
	record, err := vrwire.Unmarshal[vrlease.Record](value)
	if err != nil {
		return value
	}
	record.Hold, record.FormerHold, record.OrdersEnded = 0, 0, 0
	former, err := vrwire.Marshal(record)
	if err != nil {
		panic(err)
	}
	return former
}

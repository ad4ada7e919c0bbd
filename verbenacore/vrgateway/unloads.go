package vrgateway

import "time"

// A server carries an unload out once the running requests of the model have ended, and refuses other orders
// until then. So a daemon with such requests reports them to the placement owner at once when it learns of the
// unload, and again when the last of them has ended.

// reportUnloadingUse makes the next demand report due if calls are in flight for a model that a server is about
// to unload.
func (s *State) reportUnloadingUse(key serverModel) {
	if s.inFlight[key] == 0 {
		return
	}
	s.unloading[key] = true
	s.owner.demandSentAt = time.Time{}
}

// reportUnloadedEnd makes the next demand report due if the last call in flight for a model has ended that a
// server is about to unload.
func (s *State) reportUnloadedEnd(key serverModel) {
	if s.unloading[key] {
		delete(s.unloading, key)
		s.owner.demandSentAt = time.Time{}
	}
}

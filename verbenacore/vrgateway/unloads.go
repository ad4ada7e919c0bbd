package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrwire"
)

// A server carries an unload out once the running requests of the model have ended, and refuses other orders
// until then. So a daemon with such requests reports them to the placement owner at once when it learns of the
// unload, and again when the last of them has ended. If they have ended since its last report, it reports that at
// once, because the owner orders nothing else from the server while that report counts.

// reportUnloadingUse makes the next demand report due if calls for a model that a server is about to unload are in
// flight, or are listed in the last report.
func (s *State) reportUnloadingUse(key serverModel) {
	if s.inFlight[key] > 0 {
		s.unloading[key] = true
	} else if !s.listedInFlight(key) {
		return
	}
	s.owner.demandSentAt = time.Time{}
}

// listedInFlight reports whether the last full demand report listed calls for a model at a server.
func (s *State) listedInFlight(key serverModel) bool {
	return slices.ContainsFunc(s.reportedInFlight, func(listed vrwire.ServerInFlight) bool {
		return listed.Server == key.server && listed.Model == key.model
	})
}

// reportUnloadedEnd makes the next demand report due if the last call in flight for a model has ended that a
// server is about to unload.
func (s *State) reportUnloadedEnd(key serverModel) {
	if s.unloading[key] {
		delete(s.unloading, key)
		s.owner.demandSentAt = time.Time{}
	}
}

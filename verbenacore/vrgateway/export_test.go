package vrgateway

import "time"

// Servable counts the calls in the queue for which a server has room.
func (s *State) Servable(now time.Time) int {
	count := 0
	for _, c := range s.calls {
		if server, _ := s.chooseServer(now, c); c.queued != nil && server != nil {
			count++
		}
	}
	return count
}

package vrfleet

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// reportTransit is the longest way of a response head between regions. A request that was sent within
	// this time before a report arrived may be missing from the report.
	reportTransit = 10 * time.Millisecond
	// recentSends is the number of own sends whose times are kept for each server. More within
	// reportTransit count as included in the report.
	recentSends = 8
	// usualPace is the pace of a server whose machine does no other work.
	usualPace = 100.0
	// paceMemory is the time constant with which a stated pace turns into the average one. Paces change
	// several times per second.
	paceMemory = 300 * time.Millisecond
	// paceWeight is the weight of one stated pace in the average.
	paceWeight = 1.0 / 16
	// slowReportTTL is how long a stated pace may still be that of a server that has not answered since.
	slowReportTTL = 2 * time.Second
	// serviceTimeWeight is the weight of one request in the smoothed service time. Before the first request it is
	// defaultServiceTime, which counts as much as defaultServiceSamples requests.
	serviceTimeWeight     = 0.02
	defaultServiceTime    = time.Second
	defaultServiceSamples = 4
	// meanWeight is the weight of one report in the mean number of requests of a service's servers.
	meanWeight = 1.0 / 32
	// maxPace bounds a stated pace, so that a wrong one does not keep a server from work for long.
	maxPace = 2000.0
)

// LoadReport is the load that a server states in the head of a response.
type LoadReport struct {
	// Running and Waiting are the numbers of its requests.
	Running, Waiting int
	// Slots is the number of requests that it runs at once, zero if it is not stated.
	Slots int
	// Pace is the time that work takes, in percent of the usual time, zero if it is not stated.
	Pace int
}

// loadState is what the estimates of a server's load need beside its newest report.
type loadState struct {
	// includedUntil is the time up to which the newest report includes this daemon's own sends.
	includedUntil time.Time
	// sentAt holds the times of the last own sends, as a ring that next points into.
	sentAt [recentSends]time.Time
	next   int
	// pace is the last stated pace, at paceAt, and averagePace the smoothed one; zero before.
	pace, averagePace float64
	paceAt            time.Time
	// excusedAt is when a silence was first put down to a slow machine since the last report, zero if none was.
	excusedAt time.Time
	// others are the requests in flight of all other daemons at othersAt.
	others   int
	othersAt time.Time
}

// SharesMachines reports whether a server of the service has stated its pace, which only servers do that share
// their machines with other work.
func (f *Fleet) SharesMachines(service vrid.ServiceID) bool { return f.sharedServices[service] }

// MarkSharesMachines records that a server of the service has stated its pace. It holds for good: a service
// whose servers restart must not be handled as another kind until they answer again.
func (f *Fleet) MarkSharesMachines(service vrid.ServiceID) { f.sharedServices[service] = true }

// RecordStated records the slots and the pace that a load report of a server states, each zero if it does not.
func (f *Fleet) RecordStated(server *Server, slots, pace int) {
	if slots > 0 {
		server.StatedSlots = slots
	}
	if pace > 0 {
		f.MarkSharesMachines(server.Service)
	}
}

// SlotCount returns the number of requests that the server runs at once: the number that it last stated with
// its load, or the registered one.
func (s *Server) SlotCount() int {
	if s.StatedSlots > 0 {
		return s.StatedSlots
	}
	return max(s.Slots, 1)
}

// Pace returns how long work is expected to take on the server, as a multiple of the usual time. The last
// stated pace loses weight to the server's average with its age.
func (s *Server) Pace(now time.Time) float64 {
	if s.load.pace == 0 {
		return 1
	}
	average := s.load.averagePace
	return (average + (s.load.pace-average)*decay(now.Sub(s.load.paceAt), paceMemory)) / usualPace
}

// decay approximates e^(-age/constant) to 0.03. math.Exp took 38 % of the time of a choice among 160 servers.
func decay(age, constant time.Duration) float64 {
	const sixth = 1.0 / 6
	x := max(0, float64(age)/float64(constant))
	return 1 / (1 + x*(1+x*(0.5+x*sixth)))
}

// AveragePace returns the pace that is expected later, see Pace.
func (s *Server) AveragePace() float64 {
	if s.load.pace == 0 {
		return 1
	}
	return s.load.averagePace / usualPace
}

// Stretch returns how long work is expected to take that usually takes the given time, at a server with the present
// and the average pace. Only the first part of the work takes as long as the present pace says.
func Stretch(usual time.Duration, pace, average float64) time.Duration {
	return time.Duration(average*float64(usual) + (pace-average)*float64(min(usual, paceMemory)))
}

// SlowestPace returns the slowest pace, at least the usual one, that may explain why the server has not answered
// yet.
func (s *Server) SlowestPace(now time.Time) float64 {
	pace := max(usualPace, s.load.averagePace)
	if now.Sub(s.load.paceAt) <= slowReportTTL {
		pace = max(pace, s.load.pace)
	}
	return pace / usualPace
}

// ExcuseSilence reports whether a silence that began at since and is no longer than a slow machine explains is no
// failure. A silence that begins after an excused one, without a report of the server in between, is a failure: the
// pace of a server that hangs stays as it was.
func (s *Server) ExcuseSilence(now, since time.Time) bool {
	if s.load.excusedAt.IsZero() {
		s.load.excusedAt = now
	}
	return since.Before(s.load.excusedAt)
}

// RecordError records an error that the server has answered, which may follow from the request. It makes the server
// less attractive, however quick it answers, but does not eject it.
func (s *Server) RecordError(now time.Time) {
	h := &s.health
	h.lastOutcomeAt = now
	h.samples++
	h.failureRate += (1 - h.failureRate) * failureRateWeight
}

// RecordServiceTime records how long a server took for a request, without its time in the queue.
func (f *Fleet) RecordServiceTime(server *Server, elapsed time.Duration) {
	if server.load.averagePace > 0 {
		elapsed = time.Duration(float64(elapsed) * usualPace / server.load.averagePace)
	}
	known := f.serviceTimes[server.Service]
	if known.samples == 0 {
		known = serviceTime{mean: defaultServiceTime, samples: defaultServiceSamples}
	}
	known.samples++
	weight := max(serviceTimeWeight, 1/float64(known.samples))
	known.mean += time.Duration(float64(elapsed-known.mean) * weight)
	f.serviceTimes[server.Service] = known
}

// serviceTime is the smoothed time of a number of requests.
type serviceTime struct {
	mean    time.Duration
	samples int
}

// PromptTime returns the time that a server takes for a prompt at the usual pace.
func (f *Fleet) PromptTime(tokens int) time.Duration {
	rate := f.promptRate
	if rate <= 0 {
		rate = defaultPromptRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// RecordSendTime records the time of a send that RecordSend counts.
func (s *Server) RecordSendTime(now time.Time) {
	s.load.sentAt[s.load.next] = now
	s.load.next = (s.load.next + 1) % recentSends
}

// ApplyLoadReport applies a report that has just arrived with the head of a response. Own requests that were
// sent too late to be in it are counted beside it.
func (f *Fleet) ApplyLoadReport(now time.Time, s *Server, report LoadReport) {
	requests := float64(report.Running + report.Waiting)
	f.meanRequests[s.Service] += (requests - f.meanRequests[s.Service]) * meanWeight
	s.SetLoad(now, report.Running, report.Waiting)
	s.load.excusedAt = time.Time{}
	s.load.includedUntil = now.Add(-reportTransit)
	for _, sentAt := range s.load.sentAt {
		if sentAt.After(s.load.includedUntil) {
			s.SentSinceReport++
		}
	}
	s.SentSinceReport = min(s.SentSinceReport, s.InFlight)
	f.RecordStated(s, report.Slots, report.Pace)
	if report.Pace <= 0 {
		return
	}
	s.load.pace, s.load.paceAt = min(float64(report.Pace), maxPace), now
	if s.load.averagePace == 0 {
		s.load.averagePace = usualPace
	}
	s.load.averagePace += (s.load.pace - s.load.averagePace) * paceWeight
}

// SetOthersRequests applies the sum of the requests in flight of all other daemons at a time.
func (s *Server) SetOthersRequests(at time.Time, requests int) {
	if at.After(s.load.othersAt) {
		s.load.others, s.load.othersAt = requests, at
	}
}

// othersRequests returns the known requests of all other daemons, zero if a report of the server is newer.
func (s *Server) othersRequests(now time.Time) int {
	if now.Sub(s.load.othersAt) > loadReportTTL || !s.load.othersAt.After(s.LoadReportedAt) {
		return 0
	}
	return s.load.others
}

// ServiceLoad is what is known of the servers of a service together.
type ServiceLoad struct {
	// ServiceTime is the mean time that a server takes for a request at the usual pace.
	ServiceTime time.Duration
	// MeanRequests is the smoothed number of requests at a server.
	MeanRequests float64
}

// LoadOf returns the load of a service.
func (f *Fleet) LoadOf(service vrid.ServiceID) ServiceLoad {
	load := ServiceLoad{ServiceTime: defaultServiceTime, MeanRequests: f.meanRequests[service]}
	if known := f.serviceTimes[service]; known.mean > 0 {
		load.ServiceTime = known.mean
	}
	return load
}

// ExpectedRequests returns the number of requests that are expected at the server, for the choice among servers.
// The newest figure loses weight to the mean of the service with its age, as the requests that it counts end: a
// server must not look idle because nothing is known of it, nor all daemons send to the one that had fewest
// requests a second ago.
func (s *Server) ExpectedRequests(now time.Time, load ServiceLoad) float64 {
	figure, at, since := float64(s.Running+s.Waiting), s.LoadReportedAt, s.SentSinceReport
	if s.load.othersAt.After(at) {
		figure, at, since = float64(s.load.others), s.load.othersAt, s.InFlight
	}
	expected := load.MeanRequests
	expected += (figure - expected) * decay(now.Sub(at), load.ServiceTime)
	return max(expected+float64(since), float64(s.InFlight))
}

// HasRecentReport reports whether the head of a response has brought a report that still counts.
func (s *Server) HasRecentReport(now time.Time) bool {
	return s.load.includedUntil.Before(s.LoadReportedAt) && now.Sub(s.LoadReportedAt) <= loadReportTTL
}

// RecordRequestEnd records, for a server whose reports ApplyLoadReport applies, that a request of this daemon
// has ended that was sent at sentAt. ran is false if the server has certainly not run it, so that no report
// includes it.
func (f *Fleet) RecordRequestEnd(server *Server, sentAt time.Time, ran bool) {
	current := f.servers[server.ID]
	// The same process may have been registered again since, and has then reported on the request.
	counted, again := server, current != nil && current != server && current.Born == server.Born
	if again {
		counted = current
	}
	switch {
	case sentAt.After(counted.load.includedUntil):
		counted.SentSinceReport = max(0, counted.SentSinceReport-1)
	case !ran || (sentAt.Before(counted.SeenAt) && !again):
	case counted.Waiting > 0:
		// A waiting request takes the slot.
		counted.Waiting--
	default:
		counted.Running = max(0, counted.Running-1)
	}
	server.InFlight = max(0, server.InFlight-1)
	switch {
	case current == nil:
	case current != server:
		// The server was registered again since, with this request among those in flight.
		current.InFlight = max(0, current.InFlight-1)
	case server.Gone && server.InFlight == 0:
		delete(f.servers, server.ID)
	}
}

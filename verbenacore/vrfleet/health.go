package vrfleet

import (
	"math"
	"time"
)

// Limits of a server's health as seen by this daemon's requests.
const (
	// strikeLimit failures in a row set a server aside.
	strikeLimit = 2
	// asideFirst and asideMost bound the time aside, which doubles with each repeat.
	asideFirst = 500 * time.Millisecond
	asideMost  = 4 * time.Second
	// rateWeight is the weight of one outcome in the failure rate.
	rateWeight = 1.0 / 8
	// rateLimit is the failure rate that sets a server aside where its peers do better.
	rateLimit = 0.3
	// rateSamples outcomes are needed for a rate.
	rateSamples = 6
	// paceWeight is the weight of one answer in the mean time to the first byte.
	paceWeight = 1.0 / 8
)

// health is how a server treated this daemon's requests.
type health struct {
	strikes int
	asides  int
	until   time.Time
	// rate is the smoothed share of requests that failed.
	rate    float64
	samples int
	// pace is the smoothed time to the first byte.
	pace time.Duration
	// at is the time of the newest outcome.
	at time.Time
}

// Aside reports whether the server is set aside; after its time it is tried again.
func (s *Server) Aside(now time.Time) bool { return now.Before(s.health.until) }

// memoryTime is how fast past outcomes lose weight: a server that is avoided gives no new
// ones, and would be avoided for good.
const memoryTime = 2 * time.Second

// Memory is the weight of the server's past outcomes, from 1 down to 0.
func (s *Server) Memory(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.health.at).Seconds()) / memoryTime.Seconds())
}

// FailureRate is the smoothed share of this daemon's requests that the server failed.
func (s *Server) FailureRate() float64 { return s.health.rate }

// Pace is the smoothed time to the first byte, or zero.
func (s *Server) Pace() time.Duration { return s.health.pace }

// Succeeded notes an answer and its time to the first byte.
func (s *Server) Succeeded(now time.Time, toFirst time.Duration) {
	h := &s.health
	h.at = now
	h.strikes, h.asides = 0, 0
	h.samples++
	h.rate -= h.rate * rateWeight
	if h.pace == 0 {
		h.pace = toFirst
		return
	}
	h.pace += time.Duration(float64(toFirst-h.pace) * paceWeight)
}

// Failed notes a request that the server failed: no connection, no answer, a broken one.
// It reports whether the server was set aside. usual is the failure rate of its peers: a
// rate above a limit only counts where they do better.
func (s *Server) Failed(now time.Time, usual float64) bool {
	h := &s.health
	h.at = now
	h.strikes++
	h.samples++
	h.rate += (1 - h.rate) * rateWeight
	const clearlyWorse = 2
	bad := h.samples >= rateSamples && h.rate > rateLimit && h.rate > clearlyWorse*usual
	if h.strikes < strikeLimit && !bad {
		return false
	}
	pause := min(asideFirst<<min(h.asides, 8), asideMost)
	h.asides++
	h.until = now.Add(pause)
	return true
}

// UsualRate is the mean failure rate of a service's servers.
func (f *Fleet) UsualRate(server *Server) float64 {
	sum, count := 0.0, 0
	for _, peer := range f.byService[server.Service] {
		if peer != server && peer.health.samples > 0 {
			sum += peer.health.rate
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

const (
	// rateTokens is the length of a prompt from which its time to the first event tells how
	// fast prompts are read; shorter ones mostly tell of the network.
	rateTokens = 1200
	// rateShare is the weight of one prompt in the mean rate.
	rateShare = 0.05
	// firstRate is assumed until a prompt was measured, in tokens a second.
	firstRate = 20_000.0
)

// Read notes the time to the first event of a prompt.
func (f *Fleet) Read(tokens int, toFirst time.Duration) {
	if tokens < rateTokens || toFirst <= 0 {
		return
	}
	rate := float64(tokens) / toFirst.Seconds()
	if f.readRate == 0 {
		f.readRate = rate
	}
	f.readRate += (rate - f.readRate) * rateShare
}

// ReadRate is how many prompt tokens a second one server reads, about; zero before it was
// measured.
func (f *Fleet) ReadRate() float64 { return f.readRate }

// Backlog is the time that the server needs to read the prompts which this daemon sent it
// and of which no event has come.
func (f *Fleet) Backlog(server *Server) time.Duration {
	rate := f.readRate
	if rate <= 0 {
		rate = firstRate
	}
	return time.Duration(float64(server.Unread) / rate * float64(time.Second))
}

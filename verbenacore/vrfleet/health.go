package vrfleet

import (
	"math"
	"time"
)

// Thresholds for ejecting an unhealthy server from selection (outlier ejection), based on
// the outcomes of this daemon's requests alone.
const (
	// consecutiveFailureThreshold is the number of consecutive failures from which on a
	// server is ejected.
	consecutiveFailureThreshold = 2
	// minEjection and maxEjection bound the ejection time, which doubles with each
	// repeated ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureRateWeight is the weight of one outcome in the smoothed failure rate.
	failureRateWeight = 1.0 / 8
	// failureRateThreshold is the failure rate above which a server is ejected, provided
	// that its peers do better.
	failureRateThreshold = 0.3
	// minFailureRateSamples is the number of outcomes needed before the rate is used.
	minFailureRateSamples = 6
	// latencyWeight is the weight of one response in the smoothed time to the first byte.
	latencyWeight = 1.0 / 8
)

// health summarizes the outcomes of this daemon's requests to a server.
type health struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// failureRate is the smoothed fraction of requests that failed.
	failureRate float64
	samples     int
	// firstByteLatency is the smoothed time to the first byte.
	firstByteLatency time.Duration
	// lastOutcomeAt is when the last outcome was recorded.
	lastOutcomeAt time.Time
}

// Ejected reports whether the server is ejected from selection. Once the ejection time is
// over, the server is tried again.
func (s *Server) Ejected(now time.Time) bool { return now.Before(s.health.ejectedUntil) }

// outcomeDecayTime is the time constant with which past outcomes lose weight. Without
// decay, a server that is avoided would produce no new outcomes and be avoided forever.
const outcomeDecayTime = 2 * time.Second

// OutcomeWeight returns the weight of the server's past outcomes, which decays from 1 to 0.
func (s *Server) OutcomeWeight(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.health.lastOutcomeAt).Seconds()) / outcomeDecayTime.Seconds())
}

// FailureRate returns the smoothed fraction of this daemon's requests that the server failed.
func (s *Server) FailureRate() float64 { return s.health.failureRate }

// FirstByteLatency returns the smoothed time to the first byte, or zero if none was measured.
func (s *Server) FirstByteLatency() time.Duration { return s.health.firstByteLatency }

// RecordSuccess records a response and its time to the first byte.
func (s *Server) RecordSuccess(now time.Time, latency time.Duration) {
	h := &s.health
	h.lastOutcomeAt = now
	h.consecutiveFailures, h.ejections = 0, 0
	h.samples++
	h.failureRate -= h.failureRate * failureRateWeight
	if h.firstByteLatency == 0 {
		h.firstByteLatency = latency
		return
	}
	h.firstByteLatency += time.Duration(float64(latency-h.firstByteLatency) * latencyWeight)
}

// RecordFailure records a request that the server failed: no connection, no response, an
// incomplete one or an error. It reports whether the server was ejected. peerRate is the mean
// failure rate of the server's peers: a failure rate above the threshold ejects the server only
// if it is also more than peerRateFactor times theirs.
func (s *Server) RecordFailure(now time.Time, peerRate float64) bool {
	h := &s.health
	h.lastOutcomeAt = now
	h.consecutiveFailures++
	h.samples++
	h.failureRate += (1 - h.failureRate) * failureRateWeight
	const peerRateFactor = 2
	rateTooHigh := h.samples >= minFailureRateSamples && h.failureRate > failureRateThreshold && h.failureRate > peerRateFactor*peerRate
	if h.consecutiveFailures < consecutiveFailureThreshold && !rateTooHigh {
		return false
	}
	ejection := min(minEjection<<min(h.ejections, 8), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(ejection)
	return true
}

// PeerFailureRate returns the mean failure rate of the other servers of the same service.
func (f *Fleet) PeerFailureRate(server *Server) float64 {
	sum, count := 0.0, 0
	for _, peer := range f.byService[server.Service] {
		if peer != server && peer.health.samples > 0 {
			sum += peer.health.failureRate
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

const (
	// minMeasuredPromptTokens is the shortest prompt whose time to the first event is used
	// to measure the prompt rate. For shorter prompts, network latency dominates.
	minMeasuredPromptTokens = 1200
	// promptRateWeight is the weight of one prompt in the smoothed prompt rate.
	promptRateWeight = 0.05
	// defaultPromptRate is assumed until a prompt was measured, in tokens per second.
	defaultPromptRate = 20_000.0
)

// RecordPromptTime records how long a server took from the send to the first event
// for a prompt of the given length.
func (f *Fleet) RecordPromptTime(tokens int, elapsed time.Duration) {
	if tokens < minMeasuredPromptTokens || elapsed <= 0 {
		return
	}
	rate := float64(tokens) / elapsed.Seconds()
	if f.promptRate == 0 {
		f.promptRate = rate
	}
	f.promptRate += (rate - f.promptRate) * promptRateWeight
}

// PromptRate returns the estimated number of prompt tokens that one server processes per
// second, or zero before it was measured.
func (f *Fleet) PromptRate() float64 { return f.promptRate }

// Backlog estimates the time that the server needs to process the prompts that this daemon
// sent it and that have not yet produced an event.
func (f *Fleet) Backlog(server *Server) time.Duration {
	return f.PromptTime(server.PendingPromptTokens)
}

package vrchoice

import (
	"time"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// Servers that share their machines with other work, or that are full at times, are selected by the expected
// completion of the request. The daemons have nearly the same view of the servers, from the servers' own load
// reports, so each picks at random among those that are nearly the best.

// Terms of the expected completion, in seconds.
const (
	// zoneRoundTrip and regionRoundTrip are the costs of a server outside the zone and outside the region.
	zoneRoundTrip   = 0.003
	regionRoundTrip = 0.03
	// completionMargin is how much later than at the best server a request may complete at a candidate, as a
	// fraction of the mean time of a request, up to maxCompletionMargin. In a replay of 65 daemons at 83 % of the
	// slots of 20 servers, a margin of 0.025 gave a mean completion of 1.155 s, 0.1 1.070 s and no limit
	// 1.107 s, where 0.99 s is the time of service.
	completionMargin    = 0.1
	maxCompletionMargin = 0.1
)

// candidate is a server that a request can be sent to, and its cost.
type candidate struct {
	server *vrfleet.Server
	cost   float64
}

// leastCompletion returns the cheaper one of two random servers among those with nearly the least expected
// completion, or nil and the reason why there is none.
func (c *Chooser) leastCompletion(now time.Time, need *Requirements) (*vrfleet.Server, Missing) {
	missing := MissingServer
	c.candidates = c.candidates[:0]
	for _, server := range c.Fleet.ServersOf(need.Service) {
		if serverMissing := c.missingFrom(now, server, need); serverMissing != MissingNone {
			missing = max(missing, serverMissing)
			continue
		}
		c.candidates = append(c.candidates, candidate{server: server})
	}
	if len(c.candidates) == 0 {
		return nil, missing
	}
	fastest := time.Duration(0)
	for i := range c.candidates {
		if latency := c.candidates[i].server.FirstByteLatency(); latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	v := c.view(now, need)
	v.fastest = fastest
	least := 0.0
	for i := range c.candidates {
		server := c.candidates[i].server
		pace := server.Pace(now)
		cost := c.answerCost(server, pace, &v) + seconds(vrfleet.Stretch(v.load.ServiceTime, pace, server.AveragePace()))
		c.candidates[i].cost = cost
		if i == 0 || cost < least {
			least = cost
		}
	}
	margin := min(completionMargin*v.service, maxCompletionMargin)
	near := 0
	for _, found := range c.candidates {
		if found.cost <= least+margin {
			c.candidates[near] = found
			near++
		}
	}
	first, second := c.candidates[c.Random.IntN(near)], c.candidates[c.Random.IntN(near)]
	if second.cost < first.cost {
		first = second
	}
	return first.server, MissingNone
}

// view holds what the cost of all servers for a request depends on.
type view struct {
	now    time.Time
	region vrid.RegionID
	load   vrfleet.ServiceLoad
	// service is load.ServiceTime in seconds, prompt the time of the request's own prompt, perToken that of one
	// token.
	service          float64
	prompt, perToken time.Duration
	// fastest is the lowest time to the first byte of the usable servers, zero if it does not count.
	fastest time.Duration
}

func (c *Chooser) view(now time.Time, need *Requirements) view {
	load := c.Fleet.LoadOf(need.Service)
	return view{
		now: now, region: c.Regions[c.Zone], load: load, service: seconds(load.ServiceTime),
		prompt: c.Fleet.PromptTime(need.PromptTokens), perToken: c.Fleet.PromptTime(1),
	}
}

// seconds is Duration.Seconds without its divisions, which are a tenth of the time of a choice.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }

// ExpectedAnswer returns when the server is expected to bring the first part of an answer.
func (c *Chooser) ExpectedAnswer(now time.Time, server *vrfleet.Server, need *Requirements) time.Duration {
	v := c.view(now, need)
	return time.Duration(c.answerCost(server, server.Pace(now), &v) * float64(time.Second))
}

// answerCost returns the expected time until the answer to a request begins, in seconds: the wait for a slot,
// the prompts ahead and its own, the way, and what the server has been slower than the fastest one, or has
// failed, of late. pace is the server's.
func (c *Chooser) answerCost(server *vrfleet.Server, pace float64, v *view) float64 {
	slots := server.SlotCount()
	requests := server.ExpectedRequests(v.now, v.load)
	used := requests / float64(slots)
	ahead := v.prompt + time.Duration(server.PendingPromptTokens)*v.perToken
	if beyond := requests + 1 - float64(slots); beyond > 0 {
		ahead += time.Duration(beyond / float64(slots) * float64(v.load.ServiceTime))
	}
	cost := fullSlotsDelay*min(used, 1)*min(v.service, 1) + seconds(vrfleet.Stretch(ahead, pace, server.AveragePace()))
	switch {
	case server.Zone == c.Zone:
	case c.Regions[server.Zone] == v.region:
		cost += zoneRoundTrip
	default:
		cost += regionRoundTrip
	}
	// A request that fails takes the time until then, and that of another one.
	penalty := (failurePenalty + v.service) * server.FailureRate()
	if latency := server.FirstByteLatency(); v.fastest > 0 && latency > v.fastest {
		penalty += min(seconds(latency-v.fastest), maxLatencyPenalty)
	}
	if penalty == 0 {
		return cost
	}
	return cost + penalty*server.OutcomeWeight(v.now)
}

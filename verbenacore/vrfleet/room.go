package vrfleet

import (
	"math"
	"time"
)

// sharedSlotsDivisor limits the requests beyond a server's slots that many daemons send to half of the slots. In a
// trial of 65 daemons (one play each), 2,977 of 3,995 urgent streams began in time with it, 2,867 where only urgent
// calls went beyond the slots, by a quarter, and 2,950 where all did by as many again.
const sharedSlotsDivisor = 2

// room counts this daemon's own requests at one process of a server.
type room struct {
	// inFlight and tokens count the requests that have not ended and the tokens that they may use.
	inFlight, tokens int
	// sends counts the requests that were sent, sendsAtReport those before the newest load report.
	sends, sendsAtReport uint64
	// sentSinceReport counts those in flight that were sent after the report.
	sentSinceReport int
	// awaitsReport is set while a request is under way that was sent to obtain a load report, since awaitedSince.
	awaitsReport bool
	awaitedSince time.Time
	// statesNoLoad is set if the server has answered without a load report.
	statesNoLoad bool
	// fullUntil is until when the server counts as full because it has turned a request away.
	fullUntil time.Time
}

// turnedAwayTime is how long a server that has turned a request away counts as full, whatever its load report
// says: it may lack memory while it has slots.
const turnedAwayTime = 250 * time.Millisecond

// RecordTurnedAway records that the server has turned a request away because it is full.
func (s *Server) RecordTurnedAway(now time.Time) { s.room.fullUntil = now.Add(turnedAwayTime) }

// Placement is a request's share of a server's capacity, from its send to its end.
type Placement struct {
	born   int64
	number uint64
	tokens int
	// obtainsReport is set if the request was sent to obtain a load report.
	obtainsReport bool
}

// RoomNeed is what a request needs of a server's capacity.
type RoomNeed struct {
	// Checked is set if the capacity of servers counts.
	Checked bool
	// Urgent requests may exceed the slots by as many again.
	Urgent bool
	// Daemons is the number of daemons that use the servers.
	Daemons int
	// Tokens is the size of the prompt and of what may be generated.
	Tokens int
	// CacheTokens is the capacity of a server's KV cache, zero if it has none. MeanTokens is assumed for each
	// request of other daemons.
	CacheTokens, MeanTokens int
}

// lacksReport reports whether the server's load report is missing or too old, so that a request has to be sent
// to obtain one.
func (s *Server) lacksReport(now time.Time) bool {
	return !s.room.statesNoLoad && now.Sub(s.LoadReportedAt) > loadReportTTL && now.Sub(s.load.othersAt) > loadReportTTL
}

// maxReportWait is how long a server is expected to have room while its load report is awaited. The report comes
// with the head of a response, which a long prompt delays.
const maxReportWait = time.Second

// MayHaveRoom reports whether the server may turn out to have room once its load report comes, which is awaited.
func (s *Server) MayHaveRoom(now time.Time) bool {
	return s.room.awaitsReport && s.lacksReport(now) && now.Sub(s.room.awaitedSince) < maxReportWait && s.room.inFlight < s.SlotCount()
}

// Occupied estimates the number of requests at the server from its load report and from what this daemon has
// sent and ended since. Without a recent report it counts this daemon's own and those of the other daemons, as far
// as the placement owner has told them.
func (s *Server) Occupied(now time.Time) int { return s.occupied(now, s.Waiting) }

// occupied returns the estimate with a number of requests that wait at the server.
func (s *Server) occupied(now time.Time, waiting int) int {
	counted := s.room.inFlight + s.othersRequests(now)
	if s.LoadReportedAt.IsZero() || now.Sub(s.LoadReportedAt) > loadReportTTL {
		return counted
	}
	return max(s.Running+waiting+max(s.SentSinceReport, s.room.sentSinceReport), counted)
}

// hasSlot reports whether a request with the need may be sent to the server. In a fleet of many daemons, requests may
// be sent beyond its slots: the server knows those of all daemons and begins the most urgent one first, while each
// daemon knows its own only. A single daemon keeps them, as with it the first slot of any server is theirs. An urgent
// one goes before those that wait at the server.
func (s *Server) hasSlot(now time.Time, need *RoomNeed) bool {
	slots, daemons := s.SlotCount(), max(need.Daemons, 1)
	waiting, divisor := s.Waiting, sharedSlotsDivisor
	if need.Urgent {
		waiting, divisor = 0, 1
	}
	return s.occupied(now, waiting) < slots+slots*(daemons-1)/(divisor*daemons)
}

// OwnRequests returns the number of this daemon's requests at the server.
func (s *Server) OwnRequests() int { return s.room.inFlight }

// FreeTokens returns how many tokens a request may use at the server, or -1 if there is no slot for it. Without
// a recent load report, there is a slot for one request at a time, which obtains a report.
func (s *Server) FreeTokens(now time.Time, need *RoomNeed) int {
	if now.Before(s.room.fullUntil) || !s.hasSlot(now, need) || (s.room.awaitsReport && s.lacksReport(now)) {
		return -1
	}
	if need.CacheTokens <= 0 {
		return math.MaxInt
	}
	others := max(0, s.Occupied(now)-s.room.inFlight)
	return max(-1, need.CacheTokens-s.room.tokens-others*need.MeanTokens)
}

// HasRoom reports whether the server has a slot and enough tokens for a request.
func (s *Server) HasRoom(now time.Time, need *RoomNeed) bool {
	if !need.Checked {
		return true
	}
	free := s.FreeTokens(now, need)
	return free >= 0 && need.Tokens <= free
}

// Place counts a request of this daemon that is sent to the server.
func (s *Server) Place(now time.Time, tokens int) Placement {
	s.room.sends++
	p := Placement{born: s.Born, number: s.room.sends, tokens: tokens, obtainsReport: s.lacksReport(now)}
	s.room.inFlight++
	s.room.tokens += tokens
	s.room.sentSinceReport++
	if p.obtainsReport && !s.room.awaitsReport {
		s.room.awaitsReport, s.room.awaitedSince = true, now
	}
	return p
}

// EndPlacement ends the count of a request. Requests to an earlier process of the server no longer count.
func (s *Server) EndPlacement(p *Placement) {
	if p.born != s.Born {
		return
	}
	r := s.room
	r.inFlight = max(0, r.inFlight-1)
	r.tokens = max(0, r.tokens-p.tokens)
	if p.obtainsReport {
		r.awaitsReport = false
	}
	if p.number > r.sendsAtReport {
		r.sentSinceReport = max(0, r.sentSinceReport-1)
	}
}

// recordReport starts the counts since a load report.
func (r *room) recordReport() {
	r.sendsAtReport, r.sentSinceReport = r.sends, 0
	r.awaitsReport, r.statesNoLoad = false, false
}

// RecordUnreportedAnswer records that the server has answered a request without a load report, if it has sent
// none since.
func (s *Server) RecordUnreportedAnswer(sentAt time.Time) {
	s.room.statesNoLoad = s.room.statesNoLoad || s.LoadReportedAt.Before(sentAt)
}

// Package vrquarantine decides which prompts are kept away from servers because a part of them may
// crash each server that begins to answer it. It does no I/O and reads no clock.
//
// Load pattern: requests with one such part arrive at all daemons among sound requests that share
// their other parts, and each crash also breaks the sound requests in progress on that server. A
// part that crashes servers never gets an answer, so an answer clears the parts of its prompt, and a
// part without a recent answer is suspected after a crash. Requests with a suspected part wait until
// it is cleared. If no daemon has seen an answer, one request at a time is sent as a probe: its
// answer clears the part, its crash blocks it. If other parts of the probe are suspected too, their
// combination is blocked, until answers to requests with some of them tell which one it is. A block
// ends by itself after a time, after which its parts are probed again.
//
// The placement owner decides for all daemons, which report their observations to it. A daemon
// that does not reach the owner decides for itself from what it has seen.
package vrquarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// answerTTL is how long an answer clears the parts of its prompt. A part can begin to crash
	// servers after an update of their software, so an older answer proves nothing.
	answerTTL = 2 * time.Second
	// maxAnswered limits the parts whose answers are remembered, because requests may bring new
	// parts without end.
	maxAnswered = 4096
	// maxParts limits the suspected and blocked parts, maxCombinations the blocked combinations.
	maxParts        = 64
	maxCombinations = 64
	// probeDelay is how long a part is suspected before it is probed, so that the daemons with
	// a recent answer can clear it first: one round trip between regions and a tick at each end.
	probeDelay = 75 * time.Millisecond
	// sharedProbeDelay is how long a part is suspected before it is probed by a request that has other
	// parts without an answer too.
	sharedProbeDelay = 150 * time.Millisecond
	// probeTimeout is how long a probe may take before another daemon may send one.
	probeTimeout = 2 * time.Second
	// minProbes limits the probes in progress. Each answered probe raises the limit by one, up to
	// maxProbes, because after an unrelated crash all the suspected parts are sound. exclusiveTime is how
	// long after the crash of a probe there is only one at a time: one that crashes its server also breaks
	// the others there.
	minProbes     = 4
	maxProbes     = 32
	exclusiveTime = 10 * time.Second
	// minBlock and maxBlock bound the time for which a part is blocked. It doubles with each
	// block, because each probe of a part that still crashes servers costs one.
	minBlock = time.Minute
	maxBlock = time.Hour
	// suspicionTTL is how long a suspected part that no request asks for is remembered. A part that
	// was blocked before is remembered for maxBlock.
	suspicionTTL = 30 * time.Second
	// ackTimeout is how long a daemon waits for the owner's answer to a report before it repeats it.
	ackTimeout = 500 * time.Millisecond
	// aloneTimeout is how long it waits before it decides for itself. Each daemon that does sends
	// probes of its own, so a restarted owner or its successor gets some time first.
	aloneTimeout = 3 * time.Second
	// repeatInterval is the minimum interval between two equal reports about a part.
	repeatInterval = 500 * time.Millisecond
	// waitTTL is how long a daemon counts as waiting after its last report of waiting requests.
	waitTTL = 1200 * time.Millisecond
	// maxStale limits the parts whose crashes are counted although they were answered before.
	// staleCrashes is the number of crashes within staleWindow from which on such a part is
	// suspected in spite of its old answers.
	maxStale     = 256
	staleCrashes = 3
	staleWindow  = 30 * time.Second
	// maxCleared limits the remembered parts that were cleared, and maxIssued the remembered probes
	// of a part.
	maxCleared = 256
	maxIssued  = 8
	// maxIDLength is the length from which on the id of a part is replaced by a hash, because clients
	// choose the ids.
	maxIDLength = 32
	// maxPending limits the observations that have not been reported.
	maxPending = 256
)

// State is what is known about a part.
type State uint8

// States of a part.
const (
	// Clear: requests with the part are sent.
	Clear State = iota
	// Suspected: a server crashed while it had a request with the part, and none has been
	// answered since.
	Suspected
	// Blocked: requests with the part are refused.
	Blocked
)

// String returns the name that logs use.
func (s State) String() string {
	return [...]string{"clear", "suspected", "blocked"}[s]
}

// Change reports that the state of a part, or of a combination of parts, has changed at this daemon.
type Change struct {
	Parts []vrid.PromptPartID
	State State
}

// Verdict says whether a request may be sent.
type Verdict struct {
	State State
	// Until is when the block of a part ends. It is set if State is Blocked.
	Until time.Time
}

// waiter is a daemon at which requests wait, as of its last report.
type waiter struct {
	daemon vrid.DaemonID
	at     time.Time
}

// issuedProbe is a permission to send a probe.
type issuedProbe struct {
	daemon vrid.DaemonID
	number uint32
	at     time.Time
}

// staleCount counts the crashes under a part that was answered before.
type staleCount struct {
	crashes int
	since   time.Time
}

// part is a suspected or blocked part.
type part struct {
	id    vrid.PromptPartID
	state State
	// since is the start of the state.
	since time.Time
	// reportedAt is when a request with the part last crashed a server or had to wait.
	reportedAt time.Time
	// answeredEarlier is set if a daemon has seen an answer to a prompt with the part before.
	// distrusted is set if the part is suspected in spite of such answers.
	answeredEarlier bool
	distrusted      bool
	// waiting are the daemons at which requests wait for the part, in the order of their reports.
	waiting []waiter
	// issued are the permitted probes whose end was not reported, also those that took too long.
	issued []issuedProbe
	// prober is the daemon that may send the probe with the number probe since probeAt. It is empty
	// if there is no probe in progress.
	prober  vrid.DaemonID
	probe   uint32
	probeAt time.Time
	// usedProbe is the number of the last probe that this daemon sent.
	usedProbe uint32
	// blockedUntil is set if state is Blocked. blocks counts the blocks without an answer since.
	blockedUntil time.Time
	blocks       uint32
	// local is set if this daemon decided without the owner that the part is blocked, and
	// localReported once it has told the owner.
	local, localReported bool
	// waitReportedAt and answerReportedAt are when this daemon last reported waiting requests and
	// an answer.
	waitReportedAt, answerReportedAt time.Time
}

// Quarantine is one daemon's view of the parts that are suspected or blocked.
type Quarantine struct {
	self vrid.DaemonID
	// answered holds when this daemon last saw the begin of an answer to a prompt with a part.
	answered *simplelru.LRU[vrid.PromptPartID, time.Time]
	parts    map[vrid.PromptPartID]*part
	// combinations are blocked, the oldest first. Their parts are suspected.
	combinations []combination
	// probeCrashedAt is when the last crash of a probe was reported.
	probeCrashedAt time.Time
	// answeredProbes counts the answers to probes since then and since parts are suspected.
	answeredProbes int
	// lastProbe is the number of the last permitted probe. The numbers start from the time, so that a
	// late report of a probe that a former owner permitted, or one of a part that was cleared since, is
	// not taken for that of another probe.
	lastProbe uint32
	changes   []Change
	reports   reportQueue
	// alone is set while this daemon decides for itself.
	alone bool
	// changed is set if the parts have changed since the last MessageSent, version counts these
	// changes. storeChanged is set if what is blocked has changed since the last Stored.
	changed, storeChanged bool
	version               uint64
	// appliedEpoch and appliedVersion are those of the owner's last message.
	appliedEpoch   vrid.Epoch
	appliedVersion uint64
	// acknowledgements are the numbers of the daemons' last reports in the runs of runs.
	// unacknowledged holds the daemons that have not been sent theirs.
	acknowledgements map[vrid.DaemonID]uint64
	runs             map[vrid.DaemonID]uint64
	unacknowledged   map[vrid.DaemonID]bool
	// stale counts crashes under parts that were answered before. cleared holds the parts that an
	// answer has cleared, so that a stored block does not return.
	stale   *simplelru.LRU[vrid.PromptPartID, staleCount]
	cleared *simplelru.LRU[vrid.PromptPartID, struct{}]
}

// New returns the Quarantine of a daemon that knows of no part.
func New(self vrid.DaemonID) *Quarantine {
	return &Quarantine{
		self: self, answered: newLRU[time.Time](maxAnswered), parts: make(map[vrid.PromptPartID]*part),
		acknowledgements: make(map[vrid.DaemonID]uint64), runs: make(map[vrid.DaemonID]uint64),
		unacknowledged: make(map[vrid.DaemonID]bool),
		stale:          newLRU[staleCount](maxStale), cleared: newLRU[struct{}](maxCleared),
	}
}

func newLRU[V any](size int) *simplelru.LRU[vrid.PromptPartID, V] {
	lru, err := simplelru.NewLRU[vrid.PromptPartID, V](size, nil)
	if err != nil {
		panic(err)
	}
	return lru
}

// NormalizeParts returns the parts of a prompt under bounded ids that don't keep the request's
// headers in memory.
func NormalizeParts(ids []vrid.PromptPartID) []vrid.PromptPartID {
	if len(ids) == 0 {
		return nil
	}
	normalized := make([]vrid.PromptPartID, len(ids))
	for i, id := range ids {
		normalized[i] = vrid.PromptPartID(strings.Clone(string(id)))
		if len(id) > maxIDLength {
			normalized[i] = vrid.PromptPartID(fmt.Sprintf("%016x", xxhash.Sum64String(string(id))))
		}
	}
	return normalized
}

// Check returns whether a request with the given parts may be sent. A suspected part counts as
// clear if this daemon may probe it now.
func (q *Quarantine) Check(now time.Time, ids []vrid.PromptPartID) Verdict {
	if len(q.parts) == 0 {
		return Verdict{}
	}
	for _, id := range ids {
		if p := q.parts[id]; p != nil && p.state == Blocked && now.Before(p.blockedUntil) {
			return Verdict{State: Blocked, Until: p.blockedUntil}
		}
	}
	for i := range q.combinations {
		if c := &q.combinations[i]; now.Before(c.until) && isSubset(c.parts, ids) {
			return Verdict{State: Blocked, Until: c.until}
		}
	}
	suspected := func(id vrid.PromptPartID) bool { return q.isSuspected(now, id) }
	if !slices.ContainsFunc(ids, suspected) || q.probeOf(now, ids) != nil {
		return Verdict{}
	}
	return Verdict{State: Suspected}
}

// isSuspected reports whether a part is suspected, or its block has ended, and no recent answer
// clears it.
func (q *Quarantine) isSuspected(now time.Time, id vrid.PromptPartID) bool {
	p := q.parts[id]
	if p == nil || q.answeredRecently(now, id) {
		return false
	}
	return p.state == Suspected || !now.Before(p.blockedUntil)
}

// probeOf returns the part that a request with the given parts may probe now, or nil.
func (q *Quarantine) probeOf(now time.Time, ids []vrid.PromptPartID) *part {
	p := q.probePart(now, ids)
	if p == nil || p.prober != q.self || p.probe == p.usedProbe || !q.canProbe(now, p, ids) {
		return nil
	}
	return p
}

// probePart returns the suspected part that a request with the given parts is to probe, or nil. Of
// several parts it is the same at each daemon, so that requests with the same suspected parts are
// not sent as probes of different ones at the same time.
func (q *Quarantine) probePart(now time.Time, ids []vrid.PromptPartID) *part {
	var first *part
	for _, id := range ids {
		if q.isSuspected(now, id) && (first == nil || id < first.id) {
			first = q.parts[id]
		}
	}
	return first
}

// canProbe reports whether a request with the given parts is fit to probe a suspected one of them. At
// first only a request is whose other parts were answered before.
func (q *Quarantine) canProbe(now time.Time, p *part, ids []vrid.PromptPartID) bool {
	if now.Sub(p.since) >= sharedProbeDelay {
		return true
	}
	for _, id := range ids {
		if id != p.id && (!q.answered.Contains(id) || q.isSuspected(now, id)) {
			return false
		}
	}
	return true
}

// Probe identifies a permission to send one request with a suspected part. It is zero for other
// requests.
type Probe struct {
	Part   vrid.PromptPartID
	Number uint32
}

// TakeProbe uses up this daemon's permission to probe one of the parts, and returns it.
func (q *Quarantine) TakeProbe(now time.Time, ids []vrid.PromptPartID) Probe {
	p := q.probeOf(now, ids)
	if p == nil {
		return Probe{}
	}
	p.usedProbe = p.probe
	return Probe{Part: p.id, Number: p.probe}
}

// answeredRecently reports whether this daemon has seen an answer to a prompt with the part that
// still clears it.
func (q *Quarantine) answeredRecently(now time.Time, id vrid.PromptPartID) bool {
	at, ok := q.answered.Peek(id)
	return ok && now.Sub(at) <= answerTTL
}

// TakeChanges returns the changes since the last call.
func (q *Quarantine) TakeChanges() []Change {
	changes := q.changes
	q.changes = nil
	return changes
}

// Count returns the number of parts in a state.
func (q *Quarantine) Count(state State) int {
	count := 0
	for _, p := range q.parts {
		if p.state == state {
			count++
		}
	}
	return count
}

func (q *Quarantine) sortedIDs() []vrid.PromptPartID {
	ids := make([]vrid.PromptPartID, 0, len(q.parts))
	for id := range q.parts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// setState changes the state of a part.
func (q *Quarantine) setState(now time.Time, p *part, state State) {
	if p.state == state {
		return
	}
	q.storeChanged = q.storeChanged || p.state == Blocked || state == Blocked
	p.state, p.since, p.prober = state, now, ""
	q.markChanged()
	q.changes = append(q.changes, Change{Parts: []vrid.PromptPartID{p.id}, State: state})
}

func (q *Quarantine) markChanged() {
	q.changed = true
	q.version++
}

// suspect returns a part, which is added as suspected if it was clear.
func (q *Quarantine) suspect(now time.Time, id vrid.PromptPartID) *part {
	p := q.parts[id]
	if p != nil {
		return p
	}
	if len(q.parts) >= maxParts {
		q.evict()
	}
	p = &part{id: id, reportedAt: now}
	q.parts[id] = p
	q.setState(now, p, Suspected)
	return p
}

// evict forgets the part that has been suspected for the longest time, or if all parts are in
// combinations or blocked, the one that became so first.
func (q *Quarantine) evict() {
	var oldest *part
	for _, id := range q.sortedIDs() {
		p := q.parts[id]
		if oldest == nil || q.evictionRank(p) < q.evictionRank(oldest) ||
			(q.evictionRank(p) == q.evictionRank(oldest) && p.since.Before(oldest.since)) {
			oldest = p
		}
	}
	q.forget(oldest)
}

// evictionRank returns 0 for a part that is only suspected, 1 for one in a combination and 2 for a
// blocked one.
func (q *Quarantine) evictionRank(p *part) int {
	switch {
	case p.state == Blocked:
		return 2
	case q.inCombination(p.id):
		return 1
	default:
		return 0
	}
}

// forget removes a part without an answer that clears it, and the combinations that it is in.
func (q *Quarantine) forget(p *part) {
	q.combinations = slices.DeleteFunc(q.combinations, func(c combination) bool { return slices.Contains(c.parts, p.id) })
	q.remove(p)
}

// clear removes a part after an answer to a prompt with it.
func (q *Quarantine) clear(now time.Time, p *part) {
	q.remove(p)
	q.cleared.Add(p.id, struct{}{})
	q.removeFromCombinations(now, p.id)
}

func (q *Quarantine) remove(p *part) {
	q.setState(time.Time{}, p, Clear)
	delete(q.parts, p.id)
}

// block blocks a part until a time.
func (q *Quarantine) block(now time.Time, p *part, until time.Time, blocks uint32) {
	q.setState(now, p, Blocked)
	p.blockedUntil, p.blocks, p.waiting, p.local, p.localReported = until, blocks, nil, q.alone, false
	q.cleared.Remove(p.id)
}

// remaining returns a duration until a time in milliseconds.
func remaining(now, until time.Time) int64 { return max(0, until.Sub(now).Milliseconds()) }

func quarantinedPart(now time.Time, p *part) vrwire.QuarantinedPart {
	item := vrwire.QuarantinedPart{Part: p.id, Blocked: p.state == Blocked, Prober: p.prober, Probe: p.probe, Blocks: p.blocks}
	if item.Blocked {
		item.Remaining = remaining(now, p.blockedUntil)
	}
	return item
}

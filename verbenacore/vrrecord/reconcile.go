package vrrecord

import (
	"cmp"
	"fmt"
	"iter"
	"slices"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// MismatchKind is a kind of disagreement between the claims and the record.
type MismatchKind string

// Kinds of mismatches.
const (
	// MismatchRanTwice: two requests with one key ran at a back end.
	MismatchRanTwice MismatchKind = "ranTwice"
	// MismatchFalseNotRun: the record states that a call did not run, but its claim states
	// that it ran or may have run.
	MismatchFalseNotRun MismatchKind = "falseNotRun"
	// MismatchUnclaimed: a call with a key ran without a claim.
	MismatchUnclaimed MismatchKind = "unclaimed"
	// MismatchReleasedRan: a claim was released as not sent, but the record states that
	// the call ran.
	MismatchReleasedRan MismatchKind = "releasedButRan"
	// MismatchNoEntry: a claimed request has no terminal entry and no gap covers it.
	MismatchNoEntry MismatchKind = "noEntry"
)

// Mismatch is one disagreement between a claim and the record.
type Mismatch struct {
	Kind    MismatchKind        `json:"kind"`
	Service vrid.ServiceID      `json:"service"`
	Key     vrid.IdempotencyKey `json:"key"`
	Request vrid.RequestID      `json:"request"`
	Detail  string              `json:"detail"`
}

// String returns the mismatch as one line of text.
func (m Mismatch) String() string {
	return fmt.Sprintf("%s %s key %s request %s: %s", m.Kind, m.Service, m.Key, m.Request, m.Detail)
}

// Reconciliation is the result of comparing the claims with the record.
type Reconciliation struct {
	// Keys is the number of distinct pairs of service and key in the claims.
	Keys int `json:"keys"`
	// Matched is the number of claimed requests whose entry agrees with the claim.
	Matched int `json:"matched"`
	// InGap is the number of claimed requests without an entry whose run has a gap: their
	// entries may have been lost with the daemon.
	InGap int `json:"inGap"`
	// Outside is the number of claims without an entry that are older or newer than all
	// entries, or whose call may still run.
	Outside    int        `json:"outside"`
	Mismatches []Mismatch `json:"mismatches"`
}

// OK reports whether the claims agree with the record.
func (r *Reconciliation) OK() bool { return len(r.Mismatches) == 0 }

// serviceKey is an idempotency key, which is unique within its service.
type serviceKey struct {
	service vrid.ServiceID
	key     vrid.IdempotencyKey
}

// recordedCall is what the record states about a call with a key.
type recordedCall struct {
	serviceKey
	request   vrid.RequestID
	kind      EntryKind
	ran       Ran
	attempted bool
}

// claimedCall is the last claim of a request.
type claimedCall struct {
	serviceKey
	request vrid.RequestID
	run     Run
	state   vrwire.ClaimState
	at      int64
}

// reconciler holds the calls with a key from the record and from the claims.
type reconciler struct {
	result      Reconciliation
	recorded    map[vrid.RequestID]recordedCall
	runsWithGap map[Run]bool
	firstAt     int64
	lastAt      int64
	claimed     map[vrid.RequestID]claimedCall
	keys        map[serviceKey]bool
}

// Reconcile compares the claims of idempotency keys with the record. Only calls with
// a key are kept in memory.
func Reconcile(entries iter.Seq[*Entry], claims []vrwire.ClaimEntry) Reconciliation {
	r := &reconciler{
		recorded:    make(map[vrid.RequestID]recordedCall),
		runsWithGap: make(map[Run]bool),
		claimed:     make(map[vrid.RequestID]claimedCall),
		keys:        make(map[serviceKey]bool),
	}
	for entry := range entries {
		r.addEntry(entry)
	}
	for i := range claims {
		r.addClaim(&claims[i])
	}
	for _, claim := range r.claimed {
		r.checkClaim(claim)
	}
	r.findUnclaimed()
	r.findRanTwice()
	r.result.Keys = len(r.keys)
	slices.SortFunc(r.result.Mismatches, func(a, b Mismatch) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Kind, b.Kind))
	})
	return r.result
}

func (r *reconciler) addEntry(entry *Entry) {
	if r.firstAt == 0 || entry.At < r.firstAt {
		r.firstAt = entry.At
	}
	r.lastAt = max(r.lastAt, entry.At)
	if entry.Kind == EntryGap {
		r.runsWithGap[entry.Run()] = true
	}
	if entry.Kind.Terminal() && entry.Key != "" {
		r.recorded[entry.Request] = recordedCall{
			serviceKey: serviceKey{service: entry.Service, key: entry.Key},
			request:    entry.Request,
			kind:       entry.Kind,
			ran:        entry.Ran,
			attempted:  entry.Attempts > 0,
		}
	}
}

// addClaim keeps the last claim of each request: later entries of a claim segment
// replace earlier ones.
func (r *reconciler) addClaim(claim *vrwire.ClaimEntry) {
	key := serviceKey{service: claim.Service, key: claim.Key}
	r.keys[key] = true
	r.claimed[claim.Request] = claimedCall{
		serviceKey: key, request: claim.Request, state: claim.State, at: claim.At,
		run: Run{Daemon: claim.Daemon, Boot: claim.Boot},
	}
}

func (r *reconciler) addMismatch(kind MismatchKind, key serviceKey, request vrid.RequestID, detail string) {
	r.result.Mismatches = append(r.result.Mismatches, Mismatch{
		Kind: kind, Service: key.service, Key: key.key, Request: request, Detail: detail,
	})
}

func (r *reconciler) checkClaim(claim claimedCall) {
	call, found := r.recorded[claim.request]
	if !found {
		r.checkClaimWithoutEntry(claim)
		return
	}
	refusedNotRun := call.kind == EntryRefused && call.ran == RanNo
	switch {
	case refusedNotRun && claim.state == vrwire.ClaimDone:
		r.addMismatch(MismatchFalseNotRun, claim.serviceKey, claim.request, "refused as not run, but the claim holds an outcome")
	case refusedNotRun && claim.state == vrwire.ClaimUnknown:
		r.addMismatch(MismatchFalseNotRun, claim.serviceKey, claim.request, "refused as not run, but the claim's outcome is unknown")
	case claim.state == vrwire.ClaimReleased && call.ran == RanYes && call.attempted:
		r.addMismatch(MismatchReleasedRan, claim.serviceKey, claim.request, "the claim was released as not sent, but the request ran")
	default:
		r.result.Matched++
	}
}

func (r *reconciler) checkClaimWithoutEntry(claim claimedCall) {
	switch {
	case claim.at < r.firstAt || claim.at > r.lastAt:
		r.result.Outside++
	case r.runsWithGap[claim.run]:
		r.result.InGap++
	case claim.state == vrwire.ClaimClaimed:
		// The call may still be running.
		r.result.Outside++
	default:
		r.addMismatch(MismatchNoEntry, claim.serviceKey, claim.request, "the claim is "+claim.state.String()+", the record has no terminal entry")
	}
}

func (r *reconciler) findUnclaimed() {
	for _, call := range r.recorded {
		if _, claimed := r.claimed[call.request]; claimed || !call.attempted || call.ran != RanYes {
			continue
		}
		r.addMismatch(MismatchUnclaimed, call.serviceKey, call.request, "the request ran, but no claim names it")
	}
}

func (r *reconciler) findRanTwice() {
	ranRequests := make(map[serviceKey]vrid.RequestID)
	for _, call := range r.recorded {
		if !call.attempted || call.ran != RanYes {
			continue
		}
		other, found := ranRequests[call.serviceKey]
		if !found {
			ranRequests[call.serviceKey] = call.request
			continue
		}
		first, second := min(other, call.request), max(other, call.request)
		r.addMismatch(MismatchRanTwice, call.serviceKey, second, fmt.Sprintf("request %s ran with the same key", first))
		ranRequests[call.serviceKey] = first
	}
}

package vrrecord

import (
	"cmp"
	"fmt"
	"iter"
	"slices"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// MismatchKind says how the claims and the record disagree.
type MismatchKind string

// Kinds of mismatches.
const (
	// MismatchRanTwice: two requests with one key ran at a back end.
	MismatchRanTwice MismatchKind = "ranTwice"
	// MismatchFalseNotRun: the record says that a call did not run, its claim says that
	// it ran or may have run.
	MismatchFalseNotRun MismatchKind = "falseNotRun"
	// MismatchUnclaimed: a call with a key ran without a claim.
	MismatchUnclaimed MismatchKind = "unclaimed"
	// MismatchReleasedRan: a claim was released as not sent, the record says it ran.
	MismatchReleasedRan MismatchKind = "releasedButRan"
	// MismatchNoEntry: a claimed request has no terminal entry and no gap covers it.
	MismatchNoEntry MismatchKind = "noEntry"
)

// Mismatch is one disagreement.
type Mismatch struct {
	Kind    MismatchKind        `json:"kind"`
	Service vrid.ServiceID      `json:"service"`
	Key     vrid.IdempotencyKey `json:"key"`
	Request vrid.RequestID      `json:"request"`
	Detail  string              `json:"detail"`
}

// String returns one line for a person.
func (m Mismatch) String() string {
	return fmt.Sprintf("%s %s key %s request %s: %s", m.Kind, m.Service, m.Key, m.Request, m.Detail)
}

// Reconciliation is the result of comparing claims with outcomes.
type Reconciliation struct {
	// Keys counts the distinct keys in the claims.
	Keys int `json:"keys"`
	// Matched counts the claimed requests whose entry agrees.
	Matched int `json:"matched"`
	// InGap counts the claimed requests whose entries were lost with their daemon.
	InGap int `json:"inGap"`
	// Outside counts the claims that are older or newer than the entries.
	Outside    int        `json:"outside"`
	Mismatches []Mismatch `json:"mismatches"`
}

// OK reports whether claims and outcomes agree.
func (r *Reconciliation) OK() bool { return len(r.Mismatches) == 0 }

type claimKey struct {
	service vrid.ServiceID
	key     vrid.IdempotencyKey
}

type keyedCall struct {
	claimKey
	request vrid.RequestID
	kind    EntryKind
	ran     Ran
	sent    bool
}

type claimedCall struct {
	claimKey
	request vrid.RequestID
	run     Run
	state   vrwire.ClaimState
	at      int64
}

type reconciler struct {
	result   Reconciliation
	calls    map[vrid.RequestID]keyedCall
	gaps     map[Run]bool
	from     int64
	until    int64
	claimed  map[vrid.RequestID]claimedCall
	distinct map[claimKey]bool
}

// Reconcile compares the claims of idempotency keys with the record. Only calls with
// a key are kept in memory.
func Reconcile(entries iter.Seq[*Entry], claims []vrwire.ClaimEntry) Reconciliation {
	r := &reconciler{
		calls:    make(map[vrid.RequestID]keyedCall),
		gaps:     make(map[Run]bool),
		claimed:  make(map[vrid.RequestID]claimedCall),
		distinct: make(map[claimKey]bool),
	}
	for entry := range entries {
		r.addEntry(entry)
	}
	for i := range claims {
		r.addClaim(&claims[i])
	}
	for _, claim := range r.claimed {
		r.compare(claim)
	}
	r.findUnclaimed()
	r.findTwice()
	r.result.Keys = len(r.distinct)
	slices.SortFunc(r.result.Mismatches, func(a, b Mismatch) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Kind, b.Kind))
	})
	return r.result
}

func (r *reconciler) addEntry(entry *Entry) {
	if r.from == 0 || entry.At < r.from {
		r.from = entry.At
	}
	r.until = max(r.until, entry.At)
	if entry.Kind == EntryGap {
		r.gaps[entry.RunOf()] = true
	}
	if entry.Kind.Terminal() && entry.Key != "" {
		r.calls[entry.Request] = keyedCall{
			claimKey: claimKey{service: entry.Service, key: entry.Key},
			request:  entry.Request,
			kind:     entry.Kind,
			ran:      entry.Ran,
			sent:     entry.Attempts > 0,
		}
	}
}

// addClaim keeps the last state of each claimed request; later lines of a segment
// replace earlier ones.
func (r *reconciler) addClaim(claim *vrwire.ClaimEntry) {
	key := claimKey{service: claim.Service, key: claim.Key}
	r.distinct[key] = true
	r.claimed[claim.Request] = claimedCall{
		claimKey: key, request: claim.Request, state: claim.State, at: claim.At,
		run: Run{Daemon: claim.Daemon, Boot: claim.Boot},
	}
}

func (r *reconciler) mismatch(kind MismatchKind, key claimKey, request vrid.RequestID, detail string) {
	r.result.Mismatches = append(r.result.Mismatches, Mismatch{
		Kind: kind, Service: key.service, Key: key.key, Request: request, Detail: detail,
	})
}

func (r *reconciler) compare(claim claimedCall) {
	call, found := r.calls[claim.request]
	if !found {
		r.compareAbsent(claim)
		return
	}
	falseNotRun := call.kind == EntryRefused && call.ran == RanNo
	switch {
	case falseNotRun && claim.state == vrwire.ClaimDone:
		r.mismatch(MismatchFalseNotRun, claim.claimKey, claim.request, "refused as not run, but the claim holds an outcome")
	case falseNotRun && claim.state == vrwire.ClaimUnknown:
		r.mismatch(MismatchFalseNotRun, claim.claimKey, claim.request, "refused as not run, but the claim's outcome is unknown")
	case claim.state == vrwire.ClaimReleased && call.ran == RanYes && call.sent:
		r.mismatch(MismatchReleasedRan, claim.claimKey, claim.request, "the claim was released as not sent")
	default:
		r.result.Matched++
	}
}

func (r *reconciler) compareAbsent(claim claimedCall) {
	switch {
	case claim.at < r.from || claim.at > r.until:
		r.result.Outside++
	case r.gaps[claim.run]:
		r.result.InGap++
	case claim.state == vrwire.ClaimClaimed:
		// The call may still run.
		r.result.Outside++
	default:
		r.mismatch(MismatchNoEntry, claim.claimKey, claim.request, "the claim is "+claim.state.String()+", the record has no terminal entry")
	}
}

func (r *reconciler) findUnclaimed() {
	for _, call := range r.calls {
		if _, claimed := r.claimed[call.request]; claimed || !call.sent || call.ran != RanYes {
			continue
		}
		r.mismatch(MismatchUnclaimed, call.claimKey, call.request, "it ran and no claim names it")
	}
}

func (r *reconciler) findTwice() {
	ran := make(map[claimKey]vrid.RequestID)
	for _, call := range r.calls {
		if !call.sent || call.ran != RanYes {
			continue
		}
		other, twice := ran[call.claimKey]
		if !twice {
			ran[call.claimKey] = call.request
			continue
		}
		first, second := min(other, call.request), max(other, call.request)
		r.mismatch(MismatchRanTwice, call.claimKey, second, fmt.Sprintf("request %s ran with the same key", first))
		ran[call.claimKey] = first
	}
}

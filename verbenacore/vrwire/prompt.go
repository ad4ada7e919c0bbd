package vrwire

import "verbenaroute.example/verbenacore/vrid"

// minCombination is the minimum number of parts of a BlockedCombination.
const minCombination = 2

// PromptEvent is the kind of a PromptReportItem.
type PromptEvent uint32

// Prompt events.
const (
	// PromptCrashed: a server crashed while it had a request with the part that had no answer yet.
	PromptCrashed PromptEvent = iota + 1
	// PromptAnswered: a server began to answer a request with the part.
	PromptAnswered
	// PromptAnsweredEarlier: a server answered a request with the part, but so long ago that this
	// does not clear it.
	PromptAnsweredEarlier
	// PromptWaiting: requests with the part wait at the sender until it is cleared.
	PromptWaiting
	// PromptProbeEnded: the sender's probe ended without showing whether the part crashes servers.
	PromptProbeEnded
	// PromptBlocked: the sender blocked the part, or the combination that it is in, while it reached no
	// placement owner.
	PromptBlocked
)

// PromptReportItem is one daemon's observation of a part of prompts.
type PromptReportItem struct {
	Part  vrid.PromptPartID `protobuf:"bytes,1,opt,name=part,proto3"`
	Event PromptEvent       `protobuf:"varint,2,opt,name=event,proto3"`
	// Request is the request that was in progress at a crash.
	Request vrid.RequestID `protobuf:"bytes,3,opt,name=request,proto3"`
	// Probe is the number of the probe that the request was, or zero.
	Probe uint32 `protobuf:"varint,4,opt,name=probe,proto3"`
	// Remaining is how much longer the part or combination is blocked, in milliseconds.
	Remaining int64 `protobuf:"varint,5,opt,name=remaining,proto3"`
	// Combination holds all parts of a blocked combination.
	Combination []vrid.PromptPartID `protobuf:"bytes,6,rep,name=combination,proto3"`
	// Number is the number of the first report that held the item.
	Number uint64 `protobuf:"varint,7,opt,name=number,proto3"`
	// Stale is set at a crash if the part was answered before and other parts of the request were not.
	Stale bool `protobuf:"varint,8,opt,name=stale,proto3"`
}

// PromptReport is sent by a daemon to the placement owner after a crash of a server, and while
// parts of prompts are under suspicion. One without items asks for the owner's Quarantine message.
type PromptReport struct {
	// Number identifies the report; the owner's next Quarantine message repeats it.
	Number uint64             `protobuf:"varint,1,opt,name=number,proto3"`
	Items  []PromptReportItem `protobuf:"bytes,2,rep,name=items,proto3"`
	// Run identifies the run of the sender, which numbers its reports anew when it restarts.
	Run uint64 `protobuf:"varint,3,opt,name=run,proto3"`
}

// Validate checks that each item names a part and a known event.
func (p *PromptReport) Validate() error {
	for i := range p.Items {
		item := &p.Items[i]
		if item.Part == "" {
			return &DecodeError{Message: "PromptReport", Field: "items", Problem: "an item has no part"}
		}
		if item.Event < PromptCrashed || item.Event > PromptBlocked {
			return &DecodeError{Message: "PromptReport", Field: "items", Problem: "an item has an unknown event"}
		}
	}
	return nil
}

// QuarantinedPart is a part of prompts that is suspected to crash servers, or blocked.
type QuarantinedPart struct {
	Part    vrid.PromptPartID `protobuf:"bytes,1,opt,name=part,proto3"`
	Blocked bool              `protobuf:"varint,2,opt,name=blocked,proto3"`
	// Remaining is how much longer the part is blocked, in milliseconds.
	Remaining int64 `protobuf:"varint,3,opt,name=remaining,proto3"`
	// Prober is the daemon that may send one request with the suspected part, and Probe the
	// number of this permission.
	Prober vrid.DaemonID `protobuf:"bytes,4,opt,name=prober,proto3"`
	Probe  uint32        `protobuf:"varint,5,opt,name=probe,proto3"`
	// Blocks is the number of times that the part was blocked without an answer since.
	Blocks uint32 `protobuf:"varint,6,opt,name=blocks,proto3"`
}

// BlockedCombination is a set of parts of which at least one crashes servers. Requests with all of
// them are refused.
type BlockedCombination struct {
	Parts []vrid.PromptPartID `protobuf:"bytes,1,rep,name=parts,proto3"`
	// Remaining is how much longer the combination is blocked, in milliseconds.
	Remaining int64 `protobuf:"varint,2,opt,name=remaining,proto3"`
}

// Quarantine is sent by the placement owner to all daemons, and stored with the blocked parts only.
// It holds every part that is suspected or blocked; all others are clear.
type Quarantine struct {
	Epoch vrid.Epoch        `protobuf:"varint,1,opt,name=epoch,proto3"`
	Parts []QuarantinedPart `protobuf:"bytes,2,rep,name=parts,proto3"`
	// Acknowledged is the number of the receiver's last report, and AcknowledgedRun the run in which
	// it was sent.
	Acknowledged    uint64               `protobuf:"varint,3,opt,name=acknowledged,proto3"`
	AcknowledgedRun uint64               `protobuf:"varint,6,opt,name=acknowledgedRun,proto3"`
	Combinations    []BlockedCombination `protobuf:"bytes,4,rep,name=combinations,proto3"`
	// Version counts the changes of the parts and combinations at this owner.
	Version uint64 `protobuf:"varint,5,opt,name=version,proto3"`
}

// Validate checks that each part has an id and that each combination has at least two parts in
// ascending order.
func (q *Quarantine) Validate() error {
	for i := range q.Combinations {
		parts := q.Combinations[i].Parts
		if len(parts) < minCombination {
			return &DecodeError{Message: "Quarantine", Field: "combinations", Problem: "a combination has fewer than two parts"}
		}
		for j := range parts[1:] {
			if parts[j] >= parts[j+1] {
				return &DecodeError{Message: "Quarantine", Field: "combinations", Problem: "the parts of a combination are not in ascending order"}
			}
		}
	}
	for i := range q.Parts {
		if q.Parts[i].Part == "" {
			return &DecodeError{Message: "Quarantine", Field: "parts", Problem: "a part has no id"}
		}
	}
	return nil
}

package vrwire

import "verbenaroute.example/verbenacore/vrid"

// ClaimState is the state of an idempotency key.
type ClaimState uint32

// Claim states. ClaimGranted, ClaimMismatch and ClaimUnavailable occur only in replies.
const (
	// ClaimGranted: the requester may dispatch the call once.
	ClaimGranted ClaimState = iota + 1
	// ClaimClaimed: a request holds the key, and its outcome is not recorded yet.
	ClaimClaimed
	// ClaimDone: the call ran; the entry holds the response that is replayed.
	ClaimDone
	// ClaimUnknown: it is not known whether the call ran.
	ClaimUnknown
	// ClaimReleased: the call was certainly not sent, and the key may be claimed again.
	ClaimReleased
	// ClaimMismatch: the key was used for a call with another digest.
	ClaimMismatch
	// ClaimUnavailable: the deadline passed before the claim was written.
	ClaimUnavailable
)

// String returns the state's name in logs and the record.
func (s ClaimState) String() string {
	switch s {
	case ClaimGranted:
		return "granted"
	case ClaimClaimed:
		return "claimed"
	case ClaimDone:
		return "done"
	case ClaimUnknown:
		return "unknown"
	case ClaimReleased:
		return "released"
	case ClaimMismatch:
		return "mismatch"
	case ClaimUnavailable:
		return "unavailable"
	}
	return "invalid"
}

// ClaimEntry is one entry of a claim segment on the platform.
type ClaimEntry struct {
	Service vrid.ServiceID      `protobuf:"bytes,1,opt,name=service,proto3"`
	Key     vrid.IdempotencyKey `protobuf:"bytes,2,opt,name=key,proto3"`
	// State is ClaimClaimed, ClaimDone, ClaimUnknown or ClaimReleased.
	State   ClaimState     `protobuf:"varint,3,opt,name=state,proto3"`
	Daemon  vrid.DaemonID  `protobuf:"bytes,4,opt,name=daemon,proto3"`
	Boot    vrid.BootID    `protobuf:"bytes,5,opt,name=boot,proto3"`
	Request vrid.RequestID `protobuf:"bytes,6,opt,name=request,proto3"`
	// Digest is the hash of the method, path and body of the first call with the key.
	Digest uint64 `protobuf:"varint,7,opt,name=digest,proto3"`
	// Status, ContentType and Body are the response of a call that is done; a body that is
	// too large is left out.
	Status      uint32 `protobuf:"varint,8,opt,name=status,proto3"`
	ContentType string `protobuf:"bytes,9,opt,name=contentType,proto3"`
	Body        []byte `protobuf:"bytes,10,opt,name=body,proto3"`
	// At is the time of the entry, in milliseconds of Unix time.
	At int64 `protobuf:"varint,11,opt,name=at,proto3"`
}

// Validate checks that key and service are set and that a segment may hold the state.
func (c *ClaimEntry) Validate() error {
	if c.Key == "" || c.Service == "" {
		return &DecodeError{Message: "ClaimEntry", Field: "key", Problem: "key or service is empty"}
	}
	switch c.State {
	case ClaimClaimed, ClaimDone, ClaimUnknown, ClaimReleased:
		return nil
	case ClaimGranted, ClaimMismatch, ClaimUnavailable:
	}
	return &DecodeError{Message: "ClaimEntry", Field: "state", Problem: "is not allowed in a segment"}
}

// ClaimSegment is the value of one claim object on the platform.
type ClaimSegment struct {
	Entries []ClaimEntry `protobuf:"bytes,2,rep,name=entries,proto3"`
	// Closed is set when the segment is never written again.
	Closed bool `protobuf:"varint,1,opt,name=closed,proto3"`
}

// Validate checks each entry.
func (c *ClaimSegment) Validate() error {
	for i := range c.Entries {
		if err := c.Entries[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// ClaimRequest asks the owner of a shard to claim a key.
type ClaimRequest struct {
	Shard uint32     `protobuf:"varint,1,opt,name=shard,proto3"`
	Entry ClaimEntry `protobuf:"bytes,2,opt,name=entry,proto3"`
	// Deadline is when the requester stops waiting, in milliseconds of Unix time.
	Deadline int64 `protobuf:"varint,3,opt,name=deadline,proto3"`
}

// Validate checks the entry.
func (c *ClaimRequest) Validate() error { return c.Entry.Validate() }

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Shard   uint32         `protobuf:"varint,1,opt,name=shard,proto3"`
	Request vrid.RequestID `protobuf:"bytes,2,opt,name=request,proto3"`
	State   ClaimState     `protobuf:"varint,3,opt,name=state,proto3"`
	// Entry is the existing entry of the key, unless the claim was granted.
	Entry *ClaimEntry `protobuf:"bytes,4,opt,name=entry,proto3"`
	// HolderGone is set when the run of the daemon that holds the claim is known to have
	// ended.
	HolderGone bool `protobuf:"varint,5,opt,name=holderGone,proto3"`
}

// Validate checks the state and the entry, if there is one.
func (c *ClaimReply) Validate() error {
	if c.State < ClaimGranted || c.State > ClaimUnavailable {
		return &DecodeError{Message: "ClaimReply", Field: "state", Problem: "is unknown"}
	}
	if c.Entry != nil {
		return c.Entry.Validate()
	}
	return nil
}

// OutcomeReport tells the owner of a shard how claimed calls ended.
type OutcomeReport struct {
	Shard   uint32       `protobuf:"varint,1,opt,name=shard,proto3"`
	Entries []ClaimEntry `protobuf:"bytes,2,rep,name=entries,proto3"`
}

// Validate checks each entry.
func (o *OutcomeReport) Validate() error {
	for i := range o.Entries {
		if err := o.Entries[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

package vrwire

import "verbenaroute.example/verbenacore/vrid"

// MemberState is a daemon's state in the zone view.
type MemberState uint32

// Member states.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberLeaving
	MemberRemoved
)

// ServerState is a server's state in the zone view.
type ServerState uint32

// Server states.
const (
	ServerLive ServerState = iota + 1
	ServerLeaving
	ServerDrained
	ServerUnreachable
	ServerGone
)

// ReplicaState is the state of a model or adapter on a server.
type ReplicaState uint32

// Replica states. A replica occupies memory on the server in each of them.
const (
	ReplicaGranted ReplicaState = iota + 1
	ReplicaLoading
	ReplicaLoaded
	ReplicaUnloading
)

// String returns the state's name in logs and queries.
func (s ReplicaState) String() string {
	switch s {
	case ReplicaGranted:
		return "granted"
	case ReplicaLoading:
		return "loading"
	case ReplicaLoaded:
		return "loaded"
	case ReplicaUnloading:
		return "unloading"
	}
	return "unknown"
}

// MemberItem is one daemon in the zone view.
type MemberItem struct {
	Daemon vrid.DaemonID `protobuf:"bytes,1,opt,name=daemon,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	// Peer is the IP address and port that other daemons connect to.
	Peer        string      `protobuf:"bytes,3,opt,name=peer,proto3"`
	State       MemberState `protobuf:"varint,4,opt,name=state,proto3"`
	Incarnation uint64      `protobuf:"varint,5,opt,name=incarnation,proto3"`
	// SlotShare is the fraction of each server's slots that the member may use, in
	// thousandths.
	SlotShare uint32 `protobuf:"varint,6,opt,name=share,proto3"`
	// Opened is the number of requests that the daemon has assigned a number so far.
	Opened uint64 `protobuf:"varint,7,opt,name=opened,proto3"`
	// LocalInFlight is the number of the member's requests in flight at servers in its own
	// zone.
	LocalInFlight uint32 `protobuf:"varint,8,opt,name=near,proto3"`
	// Sequence is the view's sequence number at the item's last change.
	Sequence uint64 `protobuf:"varint,15,opt,name=sequence,proto3"`
}

// ReplicaItem is a model on a server in the zone view.
type ReplicaItem struct {
	Model    vrid.ModelID     `protobuf:"bytes,1,opt,name=model,proto3"`
	State    ReplicaState     `protobuf:"varint,2,opt,name=state,proto3"`
	Adapters []vrid.AdapterID `protobuf:"bytes,3,rep,name=adapters,proto3"`
	// ReadyAt is the expected end of a load, in milliseconds of Unix time.
	ReadyAt int64 `protobuf:"varint,4,opt,name=readyAt,proto3"`
}

// ServerItem is one server in the zone view.
type ServerItem struct {
	Server   vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Pool     vrid.PoolID   `protobuf:"bytes,2,opt,name=pool,proto3"`
	Zone     vrid.ZoneID   `protobuf:"bytes,3,opt,name=zone,proto3"`
	Address  string        `protobuf:"bytes,4,opt,name=address,proto3"`
	State    ServerState   `protobuf:"varint,5,opt,name=state,proto3"`
	Running  uint32        `protobuf:"varint,6,opt,name=running,proto3"`
	Waiting  uint32        `protobuf:"varint,7,opt,name=waiting,proto3"`
	Slots    uint32        `protobuf:"varint,8,opt,name=slots,proto3"`
	Replicas []ReplicaItem `protobuf:"bytes,9,rep,name=replicas,proto3"`
	Sequence uint64        `protobuf:"varint,15,opt,name=sequence,proto3"`
}

// ServerNotice tells every member of the zone and the owners of the other zones that a
// server is leaving. The daemon that learns of it sends it directly instead of through the
// zone owner, which may just have failed: a leaving server must get no new work after 3 s.
type ServerNotice struct {
	Server vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	// Boot is empty when the sender learned it from the platform's list or from a refused
	// attempt, because neither identifies the server's run.
	Boot vrid.BootID `protobuf:"bytes,2,opt,name=boot,proto3"`
}

// Validate checks that the server id is set.
func (s *ServerNotice) Validate() error {
	if s.Server == "" {
		return &DecodeError{Message: "ServerNotice", Field: "server", Problem: "server id is empty"}
	}
	return nil
}

// LoadReport is the result of polling a server. The daemon that polls the server passes it
// up the tree of daemons.
type LoadReport struct {
	Server vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	// FailedPolls is the number of consecutive failed polls.
	FailedPolls uint32        `protobuf:"varint,3,opt,name=failed,proto3"`
	Leaving     bool          `protobuf:"varint,4,opt,name=leaving,proto3"`
	Running     uint32        `protobuf:"varint,5,opt,name=running,proto3"`
	Waiting     uint32        `protobuf:"varint,6,opt,name=waiting,proto3"`
	Slots       uint32        `protobuf:"varint,7,opt,name=slots,proto3"`
	MemoryUsed  vrid.Bytes    `protobuf:"varint,8,opt,name=memoryUsed,proto3"`
	Models      []LoadedModel `protobuf:"bytes,9,rep,name=models,proto3"`
	// AppliedOrders are the orders that this run of the server executed most recently.
	AppliedOrders []vrid.OrderID `protobuf:"bytes,10,rep,name=appliedOrders,proto3"`
	// HighestEpoch is the epoch of the highest fencing token that the server has seen.
	HighestEpoch vrid.Epoch `protobuf:"varint,11,opt,name=highestEpoch,proto3"`
	Role         string     `protobuf:"bytes,12,opt,name=role,proto3"`
	// CachedMemory and CachedDisk are the models whose checkpoints are in the server's memory
	// or on its disk.
	CachedMemory []vrid.ModelID `protobuf:"bytes,13,rep,name=cachedMemory,proto3"`
	CachedDisk   []vrid.ModelID `protobuf:"bytes,14,rep,name=cachedDisk,proto3"`
	// TakenAt is when the report was taken by the poller's clock, in milliseconds of Unix
	// time.
	TakenAt int64 `protobuf:"varint,15,opt,name=takenAt,proto3"`
}

// LoadedModel is a model on a server as reported by its engine.
type LoadedModel struct {
	Model    vrid.ModelID     `protobuf:"bytes,1,opt,name=model,proto3"`
	State    ReplicaState     `protobuf:"varint,2,opt,name=state,proto3"`
	Adapters []vrid.AdapterID `protobuf:"bytes,3,rep,name=adapters,proto3"`
}

// ModelDemand is the demand for a model, summed over a subtree.
type ModelDemand struct {
	Model   vrid.ModelID   `protobuf:"bytes,1,opt,name=model,proto3"`
	Adapter vrid.AdapterID `protobuf:"bytes,2,opt,name=adapter,proto3"`
	Rank    vrid.Rank      `protobuf:"varint,3,opt,name=rank,proto3"`
	Waiting uint32         `protobuf:"varint,4,opt,name=waiting,proto3"`
	// Arrived is the number of requests that arrived since the previous message.
	Arrived uint32 `protobuf:"varint,5,opt,name=arrived,proto3"`
	// Deadline is the earliest deadline of the waiting requests, in milliseconds of Unix
	// time.
	Deadline int64 `protobuf:"varint,6,opt,name=deadline,proto3"`
	// Running is the number of the daemon's in-flight requests for the model.
	Running uint32 `protobuf:"varint,8,opt,name=running,proto3"`
	// Daemon is the daemon with the demand; it is empty in the sum over a subtree.
	Daemon vrid.DaemonID `protobuf:"bytes,7,opt,name=daemon,proto3"`
}

// Heartbeat is sent by a daemon to its parent in the tree every second.
type Heartbeat struct {
	// Members are the sender and the members below it in the tree.
	Members []MemberItem  `protobuf:"bytes,1,rep,name=members,proto3"`
	Reports []LoadReport  `protobuf:"bytes,2,rep,name=reports,proto3"`
	Demands []ModelDemand `protobuf:"bytes,3,rep,name=demands,proto3"`
	// ViewEpoch and ViewSequence identify the zone view that the sender has.
	ViewEpoch    vrid.Epoch         `protobuf:"varint,4,opt,name=viewEpoch,proto3"`
	ViewSequence uint64             `protobuf:"varint,5,opt,name=viewSequence,proto3"`
	Config       vrid.ConfigVersion `protobuf:"varint,6,opt,name=config,proto3"`
	// SubtreeConfig is the lowest configuration version in the sender's subtree.
	SubtreeConfig vrid.ConfigVersion `protobuf:"varint,7,opt,name=subtreeConfig,proto3"`
}

// Validate checks the members, reports and demands.
func (h *Heartbeat) Validate() error {
	if len(h.Members) == 0 {
		return &DecodeError{Message: "Heartbeat", Field: "members", Problem: "is empty"}
	}
	for _, member := range h.Members {
		if member.Daemon == "" || member.Boot == "" {
			return &DecodeError{Message: "Heartbeat", Field: "members", Problem: "a member has no id or boot id"}
		}
	}
	for _, report := range h.Reports {
		if report.Server == "" {
			return &DecodeError{Message: "Heartbeat", Field: "reports", Problem: "a report has no server"}
		}
	}
	return validateDemands("Heartbeat", h.Demands)
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Config vrid.ConfigVersion `protobuf:"varint,2,opt,name=config,proto3"`
	// Removed is set when the incarnation of the heartbeat's sender was removed from the
	// view: that sender must give up what the view granted it and rejoin with a higher
	// incarnation.
	Removed bool       `protobuf:"varint,1,opt,name=removed,proto3"`
	Delta   *ViewDelta `protobuf:"bytes,3,opt,name=delta,proto3"`
}

// Validate checks the view delta, if there is one.
func (h *HeartbeatReply) Validate() error {
	if h.Delta == nil {
		return nil
	}
	return h.Delta.Validate()
}

// ViewDelta carries the items of the zone view that changed after a sequence number.
type ViewDelta struct {
	Zone  vrid.ZoneID   `protobuf:"bytes,1,opt,name=zone,proto3"`
	Owner vrid.DaemonID `protobuf:"bytes,2,opt,name=owner,proto3"`
	Epoch vrid.Epoch    `protobuf:"varint,3,opt,name=epoch,proto3"`
	// Base is the sequence number after which the items changed; 0 means the whole view.
	Base     uint64             `protobuf:"varint,4,opt,name=base,proto3"`
	Sequence uint64             `protobuf:"varint,5,opt,name=sequence,proto3"`
	Members  []MemberItem       `protobuf:"bytes,6,rep,name=members,proto3"`
	Servers  []ServerItem       `protobuf:"bytes,7,rep,name=servers,proto3"`
	Config   vrid.ConfigVersion `protobuf:"varint,8,opt,name=config,proto3"`
	// Remote are the summaries of other zones.
	Remote []ZoneSummary `protobuf:"bytes,9,rep,name=remote,proto3"`
}

// Validate checks that the zone is set and that Base does not exceed Sequence.
func (v *ViewDelta) Validate() error {
	if v.Zone == "" {
		return &DecodeError{Message: "ViewDelta", Field: "zone", Problem: "is empty"}
	}
	if v.Base > v.Sequence {
		return &DecodeError{Message: "ViewDelta", Field: "base", Problem: "is greater than the sequence"}
	}
	return nil
}

// Demand is sent directly to the zone owner when a request needs a model that no server
// has loaded.
type Demand struct {
	Demands []ModelDemand `protobuf:"bytes,1,rep,name=demands,proto3"`
}

// Validate checks each demand.
func (d *Demand) Validate() error { return validateDemands("Demand", d.Demands) }

func validateDemands(message string, demands []ModelDemand) error {
	for _, demand := range demands {
		if demand.Model == "" {
			return &DecodeError{Message: message, Field: "demands", Problem: "a demand has no model"}
		}
		if !demand.Rank.Valid() {
			return &DecodeError{Message: message, Field: "demands", Problem: "a demand has an unknown rank"}
		}
	}
	return nil
}

// ZoneSummary is sent by a zone owner to the owners of the other zones every second. It
// carries the servers and members that changed since the last acknowledged summary.
type ZoneSummary struct {
	Zone  vrid.ZoneID   `protobuf:"bytes,1,opt,name=zone,proto3"`
	Epoch vrid.Epoch    `protobuf:"varint,2,opt,name=epoch,proto3"`
	Owner vrid.DaemonID `protobuf:"bytes,3,opt,name=owner,proto3"`
	// Peer is the IP address and port that other daemons connect to the owner at.
	Peer    string             `protobuf:"bytes,4,opt,name=peer,proto3"`
	Config  vrid.ConfigVersion `protobuf:"varint,5,opt,name=config,proto3"`
	Servers []ServerItem       `protobuf:"bytes,6,rep,name=servers,proto3"`
	Members []MemberItem       `protobuf:"bytes,7,rep,name=members,proto3"`
	// SentAt is when the owner sent it by its own clock, in milliseconds of Unix time.
	SentAt int64 `protobuf:"varint,8,opt,name=sentAt,proto3"`
	// InForce is the configuration version that all live members of the zone hold.
	InForce vrid.ConfigVersion `protobuf:"varint,9,opt,name=inForce,proto3"`
	// Number is the summary's number among those from this owner to the receiving zone,
	// from 1.
	Number uint64 `protobuf:"varint,10,opt,name=number,proto3"`
	// AckedEpoch and AckedNumber acknowledge the receiving zone's newest summary.
	AckedEpoch  vrid.Epoch `protobuf:"varint,11,opt,name=heardEpoch,proto3"`
	AckedNumber uint64     `protobuf:"varint,12,opt,name=heardNumber,proto3"`
	// RemoteSlotShare is the fraction of each server's slots that a daemon of another zone
	// may use, in thousandths.
	RemoteSlotShare uint32 `protobuf:"varint,13,opt,name=farShare,proto3"`
}

// Validate checks that the zone and owner are set.
func (z *ZoneSummary) Validate() error {
	if z.Zone == "" || z.Owner == "" {
		return &DecodeError{Message: "ZoneSummary", Field: "zone", Problem: "zone or owner is empty"}
	}
	return nil
}

// EpochAck tells a zone owner that a daemon holds no unsent order of an earlier epoch.
type EpochAck struct {
	Epoch vrid.Epoch `protobuf:"varint,1,opt,name=epoch,proto3"`
}

// Validate checks that the epoch is not zero.
func (e *EpochAck) Validate() error {
	if e.Epoch == 0 {
		return &DecodeError{Message: "EpochAck", Field: "epoch", Problem: "is zero"}
	}
	return nil
}

// Handover tells the members of the zone that the owner released its lease, so that a
// candidate need not wait until it next reads the lease.
type Handover struct {
	Epoch vrid.Epoch `protobuf:"varint,1,opt,name=epoch,proto3"`
}

// Validate checks that the epoch is not zero.
func (h *Handover) Validate() error {
	if h.Epoch == 0 {
		return &DecodeError{Message: "Handover", Field: "epoch", Problem: "is zero"}
	}
	return nil
}

// SlotRequest asks the fleet owner for load slots at the weight store.
type SlotRequest struct {
	Loads []SlotLoad `protobuf:"bytes,1,rep,name=loads,proto3"`
	// SentAt increases with each request of a zone owner; a request that is older than the
	// last one is ignored.
	SentAt int64 `protobuf:"varint,2,opt,name=sentAt,proto3"`
}

// SlotLoad is one load that waits for or holds a load slot.
type SlotLoad struct {
	// Order identifies the load within its zone.
	Order    vrid.OrderID `protobuf:"bytes,1,opt,name=order,proto3"`
	Rank     vrid.Rank    `protobuf:"varint,2,opt,name=rank,proto3"`
	Deadline int64        `protobuf:"varint,3,opt,name=deadline,proto3"`
	// Adapter is neither set nor read by daemons of this version.
	Adapter bool `protobuf:"varint,4,opt,name=adapter,proto3"`
	// HoldsSlot is set when the load already holds a load slot.
	HoldsSlot bool         `protobuf:"varint,5,opt,name=holding,proto3"`
	Model     vrid.ModelID `protobuf:"bytes,6,opt,name=model,proto3"`
	// FreeMemoryGiB is the free memory of the server that has the most, in GiB; 0 when
	// something has to be unloaded first.
	FreeMemoryGiB uint32 `protobuf:"varint,7,opt,name=room,proto3"`
	// LocalSource is set when the weights come from a copy at the server; such a load takes
	// no slot at the weight store.
	LocalSource bool `protobuf:"varint,8,opt,name=near,proto3"`
	// LoadMillis is the duration of the load at full speed, in milliseconds.
	LoadMillis uint32 `protobuf:"varint,9,opt,name=work,proto3"`
}

// Validate checks that each load has an order id and a valid rank.
func (s *SlotRequest) Validate() error {
	for _, load := range s.Loads {
		if load.Order == "" || !load.Rank.Valid() {
			return &DecodeError{Message: "SlotRequest", Field: "loads", Problem: "a load has no order id or an unknown rank"}
		}
	}
	return nil
}

// SlotGrant lists the loads of a zone that hold a load slot.
type SlotGrant struct {
	Orders []vrid.OrderID `protobuf:"bytes,1,rep,name=orders,proto3"`
	// SentAt is when the fleet owner sent it, in milliseconds of Unix time. It is never
	// zero, because a message with no field set is lost in the encoding.
	SentAt int64 `protobuf:"varint,2,opt,name=sentAt,proto3"`
}

// Validate accepts every grant: an empty one means that nothing is granted.
func (s *SlotGrant) Validate() error { return nil }

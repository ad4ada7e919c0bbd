package vrwire

import "verbenaroute.example/verbenacore/vrid"

// PlacementDemandItem is one daemon's demand for a model or an adapter.
type PlacementDemandItem struct {
	Service vrid.ServiceID `protobuf:"bytes,1,opt,name=service,proto3"`
	Model   vrid.ModelID   `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter vrid.AdapterID `protobuf:"bytes,3,opt,name=adapter,proto3"`
	// Waiting is the number of requests that are waiting for it.
	Waiting uint32 `protobuf:"varint,4,opt,name=waiting,proto3"`
	// WithinTarget is the number of waiting requests that can still be served within
	// their target.
	WithinTarget uint32 `protobuf:"varint,10,opt,name=hopeful,proto3"`
	// LongestWait is the longest time that any request counted by WithinTarget has waited,
	// in milliseconds.
	LongestWait int64 `protobuf:"varint,11,opt,name=oldest,proto3"`
	// Arrived is the number of requests that arrived since the previous message.
	Arrived uint32 `protobuf:"varint,5,opt,name=arrived,proto3"`
	// Running is the number of the sender's requests in flight.
	Running uint32 `protobuf:"varint,6,opt,name=running,proto3"`
	// LongestRemaining is the time until the last deadline of the waiting requests, in
	// milliseconds. It is a duration and not a time, because the machines' clocks differ.
	LongestRemaining int64 `protobuf:"varint,7,opt,name=remaining,proto3"`
	// PromptTokens is the number of prompt tokens in the requests that arrived since the
	// previous message.
	PromptTokens uint64 `protobuf:"varint,9,opt,name=tokens,proto3"`
	// Priority is the most urgent rank among the waiting requests; 0 is the most urgent.
	Priority int32 `protobuf:"varint,8,opt,name=priority,proto3"`
}

// ServerInFlight is the number of a daemon's requests for a model in flight at a server.
type ServerInFlight struct {
	Server  vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Model   vrid.ModelID  `protobuf:"bytes,2,opt,name=model,proto3"`
	Running uint32        `protobuf:"varint,3,opt,name=running,proto3"`
}

// PlacementDemand is sent by a daemon to the placement owner: at once when a request needs a
// model that no server holds, and every second with the requests that arrived or are in
// flight.
type PlacementDemand struct {
	Items []PlacementDemandItem `protobuf:"bytes,1,rep,name=items,proto3"`
	// PrefillRate is the number of prompt tokens that one server processes per second, as
	// measured by the sender; zero if the sender has no measurement.
	PrefillRate uint64 `protobuf:"varint,3,opt,name=readRate,proto3"`
	// InFlight are all of the sender's requests in flight; it is set in a full message
	// only.
	InFlight []ServerInFlight `protobuf:"bytes,4,rep,name=uses,proto3"`
	// Full is set when Items cover every request that waits or runs at the sender.
	Full bool `protobuf:"varint,2,opt,name=full,proto3"`
	// SentAt is the time from the start of the sender's process until the message was sent, in
	// milliseconds. The owner repeats it in its heartbeats. It is zero in messages of former builds.
	SentAt int64 `protobuf:"varint,5,opt,name=sentAt,proto3"`
}

// Validate checks that each item names a model and a service.
func (p *PlacementDemand) Validate() error {
	for _, item := range p.Items {
		if item.Model == "" || item.Service == "" {
			return &DecodeError{Message: "Wants", Field: "items", Problem: "an item has no model or service"}
		}
	}
	return nil
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint32

// Notice kinds.
const (
	// NoticeLoading: the server will have loaded the model or adapter after Delay.
	NoticeLoading NoticeKind = iota + 1
	// NoticeUnloading: the server is about to unload it and must get no more requests for it.
	NoticeUnloading
	// NoticeRefused: it can't be loaded in time; after Delay, another request may succeed.
	NoticeRefused
	// NoticeLoaded: the server has it loaded. The owner observes this before the server's own
	// entry in the store tells every daemon.
	NoticeLoaded
	// NoticeLeaving: the server takes no new work.
	NoticeLeaving
)

// Notice is one decision or observation of the placement owner about a model, an adapter
// or a server.
type Notice struct {
	Kind    NoticeKind     `protobuf:"varint,1,opt,name=kind,proto3"`
	Service vrid.ServiceID `protobuf:"bytes,2,opt,name=service,proto3"`
	Model   vrid.ModelID   `protobuf:"bytes,3,opt,name=model,proto3"`
	Adapter vrid.AdapterID `protobuf:"bytes,4,opt,name=adapter,proto3"`
	Server  vrid.ServerID  `protobuf:"bytes,5,opt,name=server,proto3"`
	// Delay is measured from the time of sending, in milliseconds.
	Delay int64 `protobuf:"varint,6,opt,name=in,proto3"`
	// Born is the start of the leaving server's process in Unix milliseconds, or zero from builds
	// that don't state it.
	Born int64 `protobuf:"varint,7,opt,name=born,proto3"`
}

// Notices is sent by the placement owner to daemons; without items it only identifies the
// owner. It also carries the messages about parts of prompts: builds that know none ignore unknown
// fields, but reject envelopes without a known message and then end the session.
type Notices struct {
	Items []Notice   `protobuf:"bytes,1,rep,name=items,proto3"`
	Epoch vrid.Epoch `protobuf:"varint,2,opt,name=epoch,proto3"`
	// CatalogVersion is the version of the owner's catalog in a heartbeat, and zero in other
	// messages.
	CatalogVersion vrid.ConfigVersion `protobuf:"varint,3,opt,name=catalog,proto3"`
	// StoreAge is how long before sending the owner sent the calls by which the store proved that the
	// owner holds the lease and that its catalog is the newest, the older of the two, in milliseconds.
	StoreAge int64 `protobuf:"varint,4,opt,name=storeAge,proto3"`
	// QuarantineVersion is the version of the owner's Quarantine in a heartbeat.
	QuarantineVersion uint64 `protobuf:"varint,5,opt,name=quarantineVersion,proto3"`
	// PromptReport is a daemon's report to the owner. Epoch is zero then, so that the other fields
	// have no effect, apart from items of NoticeLeaving: these may come from any daemon.
	PromptReport *PromptReport `protobuf:"bytes,6,opt,name=promptReport,proto3"`
	// Quarantine is the owner's view of the suspected and blocked parts of prompts.
	Quarantine *Quarantine `protobuf:"bytes,7,opt,name=quarantine,proto3"`
	// Era is the era of the store in which the owner knows its catalog to be the newest, in a
	// heartbeat. Builds that don't know eras leave it zero.
	Era vrid.StoreEra `protobuf:"varint,8,opt,name=era,proto3"`
	// ReportBoot and ReportSentAt identify the last PlacementDemand that the owner has received from the
	// receiver of a heartbeat, by the run that sent it and its SentAt. ReportAge is how long before sending
	// the owner received it, in milliseconds. The heartbeat was therefore sent no earlier than ReportAge
	// after SentAt by the receiver's own clock, however long it was on its way.
	ReportBoot   vrid.BootID `protobuf:"bytes,9,opt,name=reportBoot,proto3"`
	ReportSentAt int64       `protobuf:"varint,10,opt,name=reportSentAt,proto3"`
	ReportAge    int64       `protobuf:"varint,11,opt,name=reportAge,proto3"`
	// CatalogQuery and CatalogReply may come from any daemon. Epoch is zero then.
	CatalogQuery *CatalogQuery `protobuf:"bytes,20,opt,name=catalogQuery,proto3"`
	CatalogReply *CatalogReply `protobuf:"bytes,21,opt,name=catalogReply,proto3"`
	// Loads are the requests in flight of all daemons but the receiver at the servers that have most of them, in
	// a heartbeat, for services with ordered admission. LoadsAge is the mean age of the reports that they were
	// added up from, in milliseconds.
	Loads    []ServerRequests `protobuf:"bytes,12,rep,name=loads,proto3"`
	LoadsAge int64            `protobuf:"varint,13,opt,name=loadsAge,proto3"`
	// QuotaRequest and QuotaReply are messages between a daemon and its allocator of quotas. Epoch is zero
	// then.
	QuotaRequest *QuotaRequest `protobuf:"bytes,22,opt,name=quotaRequest,proto3"`
	QuotaReply   *QuotaReply   `protobuf:"bytes,23,opt,name=quotaReply,proto3"`
	// ReleasedEpoch is the epoch of the lease that the sender has just released, in a message to one daemon
	// that may acquire it at once. Epoch is zero then.
	ReleasedEpoch vrid.Epoch `protobuf:"varint,24,opt,name=releasedEpoch,proto3"`
}

// ServerRequests is the number of requests in flight at a server, of some daemons.
type ServerRequests struct {
	Server   vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Requests uint32        `protobuf:"varint,2,opt,name=requests,proto3"`
}

// Validate checks that each notice has a known kind and, unless the server is leaving,
// names a model, and the messages about catalogs, parts of prompts and quotas.
func (n *Notices) Validate() error {
	for _, item := range n.Items {
		if item.Kind < NoticeLoading || item.Kind > NoticeLeaving || (item.Model == "" && item.Kind != NoticeLeaving) {
			return &DecodeError{Message: "Notices", Field: "items", Problem: "a notice has an unknown kind or no model"}
		}
	}
	if n.CatalogQuery != nil {
		if err := n.CatalogQuery.Validate(); err != nil {
			return err
		}
	}
	if n.CatalogReply != nil {
		if err := n.CatalogReply.Validate(); err != nil {
			return err
		}
	}
	if n.PromptReport != nil {
		if err := n.PromptReport.Validate(); err != nil {
			return err
		}
	}
	if n.Quarantine != nil {
		if err := n.Quarantine.Validate(); err != nil {
			return err
		}
	}
	if n.QuotaRequest != nil {
		if err := n.QuotaRequest.Validate(); err != nil {
			return err
		}
	}
	if n.QuotaReply != nil {
		return n.QuotaReply.Validate()
	}
	return nil
}

package vrwire

import "verbenaroute.example/verbenacore/vrid"

// Want is one daemon's demand for a model or an adapter.
type Want struct {
	Service vrid.ServiceID `protobuf:"bytes,1,opt,name=service,proto3"`
	Model   vrid.ModelID   `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter vrid.AdapterID `protobuf:"bytes,3,opt,name=adapter,proto3"`
	// Waiting counts the requests that wait for it now.
	Waiting uint32 `protobuf:"varint,4,opt,name=waiting,proto3"`
	// Hopeful counts those of them that can still be served within their target.
	Hopeful uint32 `protobuf:"varint,10,opt,name=hopeful,proto3"`
	// Oldest is how long the first of the hopeful ones has waited, in milliseconds.
	Oldest int64 `protobuf:"varint,11,opt,name=oldest,proto3"`
	// Arrived counts the requests since the previous message.
	Arrived uint32 `protobuf:"varint,5,opt,name=arrived,proto3"`
	// Running counts the sender's requests in flight.
	Running uint32 `protobuf:"varint,6,opt,name=running,proto3"`
	// Remaining is the time until the last of the waiting requests gives up, in
	// milliseconds; clocks of machines differ, so no time of day is sent.
	Remaining int64 `protobuf:"varint,7,opt,name=remaining,proto3"`
	// Tokens counts the prompt tokens of the requests that arrived since the previous
	// message.
	Tokens uint64 `protobuf:"varint,9,opt,name=tokens,proto3"`
	// Priority is the best rank among the waiting requests; 0 comes first.
	Priority int32 `protobuf:"varint,8,opt,name=priority,proto3"`
}

// ServerUse is how many requests for a model a daemon has in flight at a server.
type ServerUse struct {
	Server  vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Model   vrid.ModelID  `protobuf:"bytes,2,opt,name=model,proto3"`
	Running uint32        `protobuf:"varint,3,opt,name=running,proto3"`
}

// Wants goes from a daemon to the placement owner: at once when a request meets a model
// that no server holds, and each second with what arrived and what runs.
type Wants struct {
	Items []Want `protobuf:"bytes,1,rep,name=items,proto3"`
	// ReadRate is how many prompt tokens a second one server reads, as the sender measured
	// it; zero if it has not.
	ReadRate uint64 `protobuf:"varint,3,opt,name=readRate,proto3"`
	// Uses are all requests in flight, in a full message.
	Uses []ServerUse `protobuf:"bytes,4,rep,name=uses,proto3"`
	// Full is set when the items are everything that waits or runs at the sender.
	Full bool `protobuf:"varint,2,opt,name=full,proto3"`
}

// Validate checks that each item names a model.
func (w *Wants) Validate() error {
	for _, item := range w.Items {
		if item.Model == "" || item.Service == "" {
			return &DecodeError{Message: "Wants", Field: "items", Problem: "an item without a model or service"}
		}
	}
	return nil
}

// NoticeKind is what the placement owner tells daemons.
type NoticeKind uint32

// Kinds of notices.
const (
	// NoticeComing: the server will hold the model or adapter after In.
	NoticeComing NoticeKind = iota + 1
	// NoticeLosing: the server is about to drop it; send it no more such requests.
	NoticeLosing
	// NoticeRefused: it can't be held in time; In is when it may be worth asking again.
	NoticeRefused
	// NoticeHeld: the server holds it, as the owner saw before the sender's entry tells all.
	NoticeHeld
	// NoticeLeaving: the server takes no new work.
	NoticeLeaving
)

// Notice is the placement owner's word about one model or adapter.
type Notice struct {
	Kind    NoticeKind     `protobuf:"varint,1,opt,name=kind,proto3"`
	Service vrid.ServiceID `protobuf:"bytes,2,opt,name=service,proto3"`
	Model   vrid.ModelID   `protobuf:"bytes,3,opt,name=model,proto3"`
	Adapter vrid.AdapterID `protobuf:"bytes,4,opt,name=adapter,proto3"`
	Server  vrid.ServerID  `protobuf:"bytes,5,opt,name=server,proto3"`
	// In is in milliseconds from the sending.
	In int64 `protobuf:"varint,6,opt,name=in,proto3"`
}

// Notices goes from the placement owner to daemons; without items it only names the owner.
type Notices struct {
	Items []Notice   `protobuf:"bytes,1,rep,name=items,proto3"`
	Epoch vrid.Epoch `protobuf:"varint,2,opt,name=epoch,proto3"`
	// Catalog is the owner's catalog version in a heartbeat, otherwise zero.
	Catalog vrid.ConfigVersion `protobuf:"varint,3,opt,name=catalog,proto3"`
	// StoreAge is how long before the sending the owner last had an answer of the store, in
	// milliseconds.
	StoreAge int64 `protobuf:"varint,4,opt,name=storeAge,proto3"`
}

// Validate checks that each notice has a known kind and names a model.
func (n *Notices) Validate() error {
	for _, item := range n.Items {
		if item.Kind < NoticeComing || item.Kind > NoticeLeaving || (item.Model == "" && item.Kind != NoticeLeaving) {
			return &DecodeError{Message: "Notices", Field: "items", Problem: "an unknown kind or no model"}
		}
	}
	return nil
}

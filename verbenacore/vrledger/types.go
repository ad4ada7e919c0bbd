// Package vrledger keeps the memory ledgers of a zone's servers. Every order is
// recorded on the platform by a conditional update before it is sent, each entry
// occupies memory and counts as a replica, and an entry leaves the ledger only when no
// copy of an order for it can still arrive.
package vrledger

import (
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Attempt is one copy of an order. It is recorded before it is sent.
type Attempt struct {
	Order    vrid.OrderID  `protobuf:"bytes,1,opt,name=order,proto3"`
	Issuer   vrid.DaemonID `protobuf:"bytes,2,opt,name=issuer,proto3"`
	Boot     vrid.BootID   `protobuf:"bytes,3,opt,name=boot,proto3"`
	Epoch    vrid.Epoch    `protobuf:"varint,4,opt,name=epoch,proto3"`
	Sequence uint64        `protobuf:"varint,5,opt,name=sequence,proto3"`
	// ServerBoot is the server's run when the attempt was recorded.
	ServerBoot vrid.BootID `protobuf:"bytes,6,opt,name=serverBoot,proto3"`
}

// Entry is a model, or an adapter on its base model, on a server.
type Entry struct {
	Model vrid.ModelID `protobuf:"bytes,1,opt,name=model,proto3"`
	// Adapter is empty for the base model itself.
	Adapter vrid.AdapterID      `protobuf:"bytes,2,opt,name=adapter,proto3"`
	State   vrwire.ReplicaState `protobuf:"varint,3,opt,name=state,proto3"`
	// Bytes are reserved in every state.
	Bytes vrid.Bytes `protobuf:"varint,4,opt,name=bytes,proto3"`
	// Attempts are the copies of orders whose end is not known. While there is one, the
	// entry can't be removed and its memory can't be given to another.
	Attempts []Attempt `protobuf:"bytes,5,rep,name=attempts,proto3"`
	// Source is where the nearest copy of the weights was.
	Source string `protobuf:"bytes,6,opt,name=source,proto3"`
	// Settled is the order whose answer came last; a report that lists it is younger.
	Settled vrid.OrderID `protobuf:"bytes,7,opt,name=settled,proto3"`
}

// ServerLedger is the ledger of one server.
type ServerLedger struct {
	Server  vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Entries []Entry       `protobuf:"bytes,2,rep,name=entries,proto3"`
}

// Chunk is the value of one ledger object.
type Chunk struct {
	Epoch  vrid.Epoch    `protobuf:"varint,1,opt,name=epoch,proto3"`
	Writer vrid.DaemonID `protobuf:"bytes,2,opt,name=writer,proto3"`
	// Revision is the writer's counter; with the epoch it identifies a write whose
	// answer was lost.
	Revision uint64         `protobuf:"varint,3,opt,name=revision,proto3"`
	Servers  []ServerLedger `protobuf:"bytes,4,rep,name=servers,proto3"`
}

// Validate checks names and states.
func (c *Chunk) Validate() error {
	for _, server := range c.Servers {
		if server.Server == "" {
			return &vrwire.DecodeError{Message: "Chunk", Field: "servers", Problem: "a server without id"}
		}
		for _, entry := range server.Entries {
			if entry.Model == "" || entry.Bytes < 0 {
				return &vrwire.DecodeError{Message: "Chunk", Field: "entries", Problem: "an entry without model or with negative bytes"}
			}
			if entry.State < vrwire.ReplicaGranted || entry.State > vrwire.ReplicaUnloading {
				return &vrwire.DecodeError{Message: "Chunk", Field: "entries", Problem: "an unknown state"}
			}
		}
	}
	return nil
}

// Refusal says why an action is not allowed.
type Refusal uint8

// Reasons to refuse an action.
const (
	RefusalNone Refusal = iota
	RefusalNotOwner
	RefusalUnknownServer
	RefusalServerNotLive
	RefusalMemory
	RefusalReplicaCap
	RefusalBusy
	RefusalPresent
	RefusalAbsent
	RefusalPinned
	RefusalNotFenced
	RefusalBaseMissing
)

// ActionKind says what the owner wants to do.
type ActionKind uint8

// Kinds of actions.
const (
	ActionLoad ActionKind = iota + 1
	ActionUnload
	// ActionGrant reserves memory and a replica for a load during an outage.
	ActionGrant
	// ActionRevoke gives an unused grant back.
	ActionRevoke
)

// Action is one decision of the owner about a server.
type Action struct {
	Kind    ActionKind
	Server  vrid.ServerID
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Bytes   vrid.Bytes
	// MaxReplicas is the largest number of replicas of the model in the zone.
	MaxReplicas    int
	Source string
}

// ServerInfo is what the platform's list and the configuration say of a server.
type ServerInfo struct {
	ID            vrid.ServerID
	Pool          vrid.PoolID
	Address       string
	Memory        vrid.Bytes
	Slots         int
	HonorsFencing bool
	State         vrwire.ServerState
}

// Settlement is what became known of an order.
type Settlement struct {
	Server vrid.ServerID
	Order  vrengine.Order
	Status vrengine.OrderStatus
}

// Package vrledger keeps the memory ledgers of a zone's servers: which models and adapters
// each server holds, loads or unloads. Each attempt to send an order to a server is recorded
// on the platform by a conditional update before it is sent. Each entry reserves memory, and
// the entry of a base model counts as a replica. An entry is removed only when no attempt of
// an order for it can still reach the server.
package vrledger

import (
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Attempt is one attempt to send an order to a server. It is recorded before it is sent. An
// order that is sent again gets a new attempt with its own order id.
type Attempt struct {
	Order    vrid.OrderID  `protobuf:"bytes,1,opt,name=order,proto3"`
	Issuer   vrid.DaemonID `protobuf:"bytes,2,opt,name=issuer,proto3"`
	Boot     vrid.BootID   `protobuf:"bytes,3,opt,name=boot,proto3"`
	Epoch    vrid.Epoch    `protobuf:"varint,4,opt,name=epoch,proto3"`
	Sequence uint64        `protobuf:"varint,5,opt,name=sequence,proto3"`
	// ServerBoot is the boot id that the server had when the attempt was recorded.
	ServerBoot vrid.BootID `protobuf:"bytes,6,opt,name=serverBoot,proto3"`
}

// Entry reserves the memory of a model, or of an adapter of a base model, on a server.
type Entry struct {
	Model vrid.ModelID `protobuf:"bytes,1,opt,name=model,proto3"`
	// Adapter is empty for the base model itself.
	Adapter vrid.AdapterID      `protobuf:"bytes,2,opt,name=adapter,proto3"`
	State   vrwire.ReplicaState `protobuf:"varint,3,opt,name=state,proto3"`
	// Bytes is the memory that the entry reserves, in every state.
	Bytes vrid.Bytes `protobuf:"varint,4,opt,name=bytes,proto3"`
	// Attempts holds the unsettled attempts: those that may still reach the server. While
	// there is one, the memory can't be reserved for another entry and the entry can't be
	// removed, unless it is an unused grant that is revoked.
	Attempts []Attempt `protobuf:"bytes,5,rep,name=attempts,proto3"`
	// Source is where the nearest copy of the weights was when the entry was added.
	Source string `protobuf:"bytes,6,opt,name=source,proto3"`
	// LastAnsweredOrder is the order that was answered last. A report that lists it was taken
	// after that answer.
	LastAnsweredOrder vrid.OrderID `protobuf:"bytes,7,opt,name=settled,proto3"`
}

// ServerLedger is the ledger of one server.
type ServerLedger struct {
	Server  vrid.ServerID `protobuf:"bytes,1,opt,name=server,proto3"`
	Entries []Entry       `protobuf:"bytes,2,rep,name=entries,proto3"`
}

// Chunk is the stored value of one ledger object. It holds the ledgers of several servers.
type Chunk struct {
	Epoch  vrid.Epoch    `protobuf:"varint,1,opt,name=epoch,proto3"`
	Writer vrid.DaemonID `protobuf:"bytes,2,opt,name=writer,proto3"`
	// Revision is the number of the write in the writer's epoch. With Epoch and Writer it
	// shows whether a write whose result was lost took effect.
	Revision uint64         `protobuf:"varint,3,opt,name=revision,proto3"`
	Servers  []ServerLedger `protobuf:"bytes,4,rep,name=servers,proto3"`
}

// Validate checks the ids, sizes and states of the entries.
func (c *Chunk) Validate() error {
	for _, server := range c.Servers {
		if server.Server == "" {
			return &vrwire.DecodeError{Message: "Chunk", Field: "servers", Problem: "a server has no id"}
		}
		for _, entry := range server.Entries {
			if entry.Model == "" || entry.Bytes < 0 {
				return &vrwire.DecodeError{Message: "Chunk", Field: "entries", Problem: "an entry has no model or a negative size"}
			}
			if entry.State < vrwire.ReplicaGranted || entry.State > vrwire.ReplicaUnloading {
				return &vrwire.DecodeError{Message: "Chunk", Field: "entries", Problem: "an entry has an unknown state"}
			}
		}
	}
	return nil
}

// Refusal is the reason why an action is not allowed, or RefusalNone.
type Refusal uint8

// Reasons for refusing an action.
const (
	RefusalNone Refusal = iota
	// RefusalNotOwner means that this daemon is not the zone's owner or has not taken over the
	// server's chunk yet.
	RefusalNotOwner
	RefusalUnknownServer
	RefusalServerNotLive
	// RefusalMemory means that the server has too little unreserved memory.
	RefusalMemory
	// RefusalReplicaCap means that the zone already has Action.MaxReplicas replicas.
	RefusalReplicaCap
	// RefusalBusy means that another load or unload on the server is in progress, that the
	// entry to unload is not loaded, or that adapters of the model to unload are present.
	RefusalBusy
	// RefusalPresent means that the entry to add exists.
	RefusalPresent
	// RefusalAbsent means that the entry to unload or the grant to revoke does not exist.
	RefusalAbsent
	// RefusalPinned means that the entry to unload has an unsettled attempt, or that a former
	// owner may have used the grant to revoke.
	RefusalPinned
	// RefusalNotFenced means that the server could still execute an order of an earlier epoch.
	RefusalNotFenced
	// RefusalBaseMissing means that the base model of the adapter to load is not loaded.
	RefusalBaseMissing
)

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	ActionLoad ActionKind = iota + 1
	ActionUnload
	// ActionGrant reserves memory and a replica, so that the model can be loaded without a
	// write while the platform does not answer.
	ActionGrant
	// ActionRevoke removes an unused grant.
	ActionRevoke
)

// Action is a change to a server's ledger that the zone's owner has decided on.
type Action struct {
	Kind    ActionKind
	Server  vrid.ServerID
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Bytes   vrid.Bytes
	// MaxReplicas is the maximum number of replicas of the model in the zone.
	MaxReplicas int
	Source      string
}

// ServerInfo describes a server as the platform's VM list and the configuration give it.
type ServerInfo struct {
	ID            vrid.ServerID
	Pool          vrid.PoolID
	Address       string
	Memory        vrid.Bytes
	Slots         int
	HonorsFencing bool
	State         vrwire.ServerState
}

// Settlement is the outcome of an order.
type Settlement struct {
	Server vrid.ServerID
	Order  vrengine.Order
	Status vrengine.OrderStatus
}

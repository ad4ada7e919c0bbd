package vrwire

import (
	"time"

	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// ServerModel is a model that a server has loaded, with its adapters.
type ServerModel struct {
	Model    vrid.ModelID     `protobuf:"bytes,1,opt,name=model,proto3"`
	Version  int64            `protobuf:"varint,2,opt,name=version,proto3"`
	Adapters []vrid.AdapterID `protobuf:"bytes,3,rep,name=adapters,proto3"`
}

// ServerEntry is a server's registration as the platform's store has it.
type ServerEntry struct {
	Server   vrid.ServerID  `protobuf:"bytes,1,opt,name=server,proto3"`
	Service  vrid.ServiceID `protobuf:"bytes,2,opt,name=service,proto3"`
	Address  string         `protobuf:"bytes,3,opt,name=address,proto3"`
	Zone     vrid.ZoneID    `protobuf:"bytes,4,opt,name=zone,proto3"`
	Slots    uint32         `protobuf:"varint,5,opt,name=slots,proto3"`
	Draining bool           `protobuf:"varint,6,opt,name=draining,proto3"`
	Born     int64          `protobuf:"varint,7,opt,name=born,proto3"`
	Beat     uint64         `protobuf:"varint,8,opt,name=beat,proto3"`
	Models   []ServerModel  `protobuf:"bytes,9,rep,name=models,proto3"`
	InHost   []vrid.ModelID `protobuf:"bytes,10,rep,name=inHost,proto3"`
	OnDisk   []vrid.ModelID `protobuf:"bytes,11,rep,name=onDisk,proto3"`
	// Leaving is how long a server that is being removed keeps running, in milliseconds.
	Leaving int64 `protobuf:"varint,12,opt,name=leaving,proto3"`
}

// FleetChanges is sent by the feeder of a zone to its other daemons: the registrations that
// changed between two versions of the store, and a part of the unchanged ones.
type FleetChanges struct {
	After   vrid.ObjectVersion `protobuf:"varint,1,opt,name=after,proto3"`
	Version vrid.ObjectVersion `protobuf:"varint,2,opt,name=version,proto3"`
	Entries []ServerEntry      `protobuf:"bytes,3,rep,name=entries,proto3"`
	Removed []vrid.ServerID    `protobuf:"bytes,4,rep,name=removed,proto3"`
	// Daemons is the number of daemons that the feeder knows.
	Daemons uint32 `protobuf:"varint,5,opt,name=daemons,proto3"`
}

// Validate checks that the versions are in order and that each entry names a server, its service
// and its address.
func (f *FleetChanges) Validate() error {
	if f.Version == 0 || f.After > f.Version {
		return &DecodeError{Message: "FleetChanges", Field: "version", Problem: "is zero or before the version after which the changes were made"}
	}
	for i := range f.Entries {
		if entry := &f.Entries[i]; entry.Server == "" || entry.Service == "" || entry.Address == "" {
			return &DecodeError{Message: "FleetChanges", Field: "entries", Problem: "an entry has no server, service or address"}
		}
	}
	return nil
}

// NewFleetChanges returns the message that tells of changes.
func NewFleetChanges(changes *vrfeed.Changes, daemons int) *FleetChanges {
	message := &FleetChanges{
		After: changes.After, Version: changes.Version, Removed: changes.Removed, Daemons: uint32(daemons),
		Entries: make([]ServerEntry, len(changes.Entries)),
	}
	for i := range changes.Entries {
		message.Entries[i] = newServerEntry(&changes.Entries[i])
	}
	return message
}

func newServerEntry(entry *vrfleet.Entry) ServerEntry {
	packed := ServerEntry{
		Server: entry.ID, Service: entry.Service, Address: entry.Address, Zone: entry.Zone, Slots: uint32(max(entry.Slots, 0)),
		Draining: entry.State == vrfleet.StateDraining, Born: entry.Born, Beat: entry.Beat,
		InHost: entry.InHost, OnDisk: entry.OnDisk, Leaving: entry.Leaving.Milliseconds(),
	}
	for _, held := range entry.Holds {
		packed.Models = append(packed.Models, ServerModel{Model: held.Model, Version: held.Version, Adapters: held.Adapters})
	}
	return packed
}

// Changes returns the changes of which the message tells.
func (f *FleetChanges) Changes() *vrfeed.Changes {
	changes := &vrfeed.Changes{
		After: f.After, Version: f.Version, Removed: f.Removed, Entries: make([]vrfleet.Entry, len(f.Entries)),
	}
	for i := range f.Entries {
		changes.Entries[i] = f.Entries[i].entry()
	}
	return changes
}

func (e *ServerEntry) entry() vrfleet.Entry {
	entry := vrfleet.Entry{
		ID: e.Server, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: int(e.Slots), State: vrfleet.StateReady,
		Born: e.Born, Beat: e.Beat, InHost: e.InHost, OnDisk: e.OnDisk, Leaving: time.Duration(e.Leaving) * time.Millisecond,
	}
	if e.Draining {
		entry.State = vrfleet.StateDraining
	}
	for _, held := range e.Models {
		entry.Holds = append(entry.Holds, vrfleet.LoadedModel{Model: held.Model, Version: held.Version, Adapters: held.Adapters})
	}
	return entry
}

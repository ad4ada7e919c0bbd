package vroperator

import (
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrreducer"
	"verbenaroute.example/verbenacore/vrwire"
)

// ReducerAccess gives read access to the state of a running reducer.
type ReducerAccess struct {
	// Inspect calls read between two events, while the reducer doesn't change its state.
	Inspect func(read func())
	// State must only be read inside Inspect.
	State *vrreducer.State
}

// reducerView implements LiveView on the state of a reducer.
type reducerView struct{ ReducerAccess }

// NewLiveView returns a LiveView that reads from a reducer.
func NewLiveView(source ReducerAccess) LiveView { return &reducerView{source} }

// Configuration implements LiveView.
func (v *reducerView) Configuration() (index *vrconfig.Index) {
	v.Inspect(func() { index = v.ReducerAccess.State.Configuration() })
	return index
}

// status reads the status and the configuration between the same two events.
func (v *reducerView) status() (status vrreducer.Status, index *vrconfig.Index) {
	v.Inspect(func() {
		status = v.ReducerAccess.State.Status()
		index = v.ReducerAccess.State.Configuration()
	})
	return status, index
}

// State implements LiveView.
func (v *reducerView) State() *vrquery.State {
	status, index := v.status()
	state := &vrquery.State{Servers: status.Servers}
	if index != nil {
		state.Fleet = index.Fleet
	}
	reached := map[vrid.ZoneID]bool{status.Zone: true}
	state.Zones = append(state.Zones, vrquery.ZoneState{
		Zone: status.Zone, Owner: status.Owner, Epoch: status.Epoch, Config: status.Config, InForce: status.Config, Reachable: true,
	})
	for _, member := range status.Members {
		state.Daemons = append(state.Daemons, vrquery.DaemonState{Zone: status.Zone, Member: member, Config: status.Config})
	}
	for _, remote := range status.Remote {
		reached[remote.Zone] = true
		state.Zones = append(state.Zones, vrquery.ZoneState{
			Zone: remote.Zone, Owner: remote.Owner, Epoch: remote.Epoch, Config: remote.Config, InForce: remote.InForce, Reachable: true,
		})
		state.Servers = append(state.Servers, remote.Servers...)
		for _, member := range remote.Members {
			state.Daemons = append(state.Daemons, vrquery.DaemonState{Zone: remote.Zone, Member: member, Config: remote.Config})
		}
	}
	for _, zone := range declaredZones(state.Fleet) {
		if !reached[zone] {
			state.Zones = append(state.Zones, vrquery.ZoneState{Zone: zone})
		}
	}
	return state
}

func declaredZones(fleet *vrconfig.Fleet) []vrid.ZoneID {
	if fleet == nil {
		return nil
	}
	return fleet.Zones()
}

// Unwritten implements LiveView. It decodes the entries outside of Inspect, because the
// reducer handles no events meanwhile and decoding a long list would delay callers' requests.
func (v *reducerView) Unwritten() []vrrecord.Entry {
	var encoded [][]byte
	v.Inspect(func() { encoded = v.ReducerAccess.State.Unwritten() })
	entries := make([]vrrecord.Entry, 0, len(encoded))
	for _, data := range encoded {
		if entry, err := vrwire.Unmarshal[vrrecord.Entry](data); err == nil {
			entries = append(entries, *entry)
		}
	}
	return entries
}

// Peers implements LiveView.
func (v *reducerView) Peers() []Peer {
	status, _ := v.status()
	var peers []Peer
	for _, member := range status.Members {
		if member.State == vrwire.MemberAlive || member.State == vrwire.MemberLeaving {
			peers = append(peers, Peer{Daemon: member.Daemon, Address: member.Peer, Zone: status.Zone, Owner: member.Daemon == status.Owner})
		}
	}
	for _, remote := range status.Remote {
		peers = append(peers, Peer{Daemon: remote.Owner, Address: remote.Peer, Zone: remote.Zone, Owner: true})
	}
	return peers
}

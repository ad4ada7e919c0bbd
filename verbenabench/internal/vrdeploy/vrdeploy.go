// Package vrdeploy holds the two deployments as data, makes others of any size, and
// writes the settings of their daemons.
package vrdeploy

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Names of the two deployments.
const (
	Shuyuan  = "shuyuan"
	Hayabusa = "hayabusa"
)

// Daemon is one entry VM.
type Daemon struct {
	ID   vrid.DaemonID
	Zone vrid.ZoneID
}

// Server is one endpoint VM.
type Server struct {
	ID   vrid.ServerID
	Kind vrconfig.ServerKind
	Pool vrid.PoolID
	Zone vrid.ZoneID
}

// Deployment is the configuration of a fleet together with its VMs.
type Deployment struct {
	Fleet   vrconfig.Fleet
	Daemons []Daemon
	Servers []Server
}

// UnknownError says that no deployment has the name.
type UnknownError struct {
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("deployment %q is unknown, allowed are %s and %s", e.Name, Shuyuan, Hayabusa)
}

// Size scales a deployment; zero keeps the deployment's own number.
type Size struct {
	Models   int
	Adapters int
	// Servers is the number of language servers.
	Servers int
	Daemons int
}

// profile is what tells the two deployments apart.
type profile struct {
	name           string
	regions        []vrconfig.Region
	languagePool   vrid.PoolID
	appPool        vrid.PoolID
	honorsFencing  bool
	size           Size
	appServers     int
	loadsPerSecond float64
	families       []family
	adapterName    string
	kinds          []vrconfig.Kind
	services       []vrconfig.Service
	floors         [vrid.RankCount]float64
}

// family is a group of models that serve one kind of request.
type family struct {
	name string
	kind vrid.KindID
	// share is the family's part of every ten models.
	share int
}

// Facts that both deployments share.
const (
	_serverMemory    = 96 * vrid.GiB
	_accelerators    = 8
	_languageSlots   = 16
	_appSlots        = 64
	_weightSlots     = 4
	_adapterSlots    = 32
	_replicasPerZone = 2
	_smallestModel   = 14
	_largestModel    = 40
	_crossRegion     = 20 * vrid.GiB
	_claimShards     = 6
	_retention       = 400 * 24 * time.Hour
	_keyRetention    = 48 * time.Hour
	_daemonCount     = 9
)

// ByName returns one of the two deployments, scaled to size.
func ByName(name string, size Size) (*Deployment, error) {
	switch name {
	case Shuyuan:
		return build(shuyuan(), size), nil
	case Hayabusa:
		return build(hayabusa(), size), nil
	}
	return nil, &UnknownError{Name: name}
}

func (s Size) or(defaults Size) Size {
	pick := func(value, fallback int) int {
		if value > 0 {
			return value
		}
		return fallback
	}
	return Size{
		Models:   pick(s.Models, defaults.Models),
		Adapters: pick(s.Adapters, defaults.Adapters),
		Servers:  pick(s.Servers, defaults.Servers),
		Daemons:  pick(s.Daemons, defaults.Daemons),
	}
}

func build(p profile, size Size) *Deployment {
	size = size.or(p.size)
	d := &Deployment{Fleet: fleet(p)}
	d.Fleet.Models = models(p, size.Models)
	d.Fleet.Adapters = adapters(p, d.Fleet.Models, size.Adapters)
	zones := d.Fleet.Zones()
	for i := range size.Daemons {
		id := vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1))
		d.Daemons = append(d.Daemons, Daemon{ID: id, Zone: zoneAt(zones, i, size.Daemons)})
	}
	d.addServers(p.languagePool, vrconfig.KindLanguageServer, size.Servers)
	d.addServers(p.appPool, vrconfig.KindApplicationServer, p.appServers)
	return d
}

func (d *Deployment) addServers(pool vrid.PoolID, kind vrconfig.ServerKind, count int) {
	zones := d.Fleet.Zones()
	for i := range count {
		d.Servers = append(d.Servers, Server{
			ID:   vrid.ServerID(fmt.Sprintf("%s-%d", pool, i+1)),
			Kind: kind,
			Pool: pool,
			Zone: zoneAt(zones, i, count),
		})
	}
}

// zoneAt spreads count things over the zones in runs, so that daemon-1 to daemon-3
// stand in the first of three zones.
func zoneAt(zones []vrid.ZoneID, index, count int) vrid.ZoneID {
	return zones[index*len(zones)/count]
}

func fleet(p profile) vrconfig.Fleet {
	return vrconfig.Fleet{
		Version:    1,
		Deployment: p.name,
		Regions:    p.regions,
		Pools: []vrconfig.Pool{
			{
				ID: p.languagePool, Kind: vrconfig.KindLanguageServer, Memory: _serverMemory,
				Accelerators: _accelerators, Slots: _languageSlots, HonorsFencing: p.honorsFencing,
			},
			{ID: p.appPool, Kind: vrconfig.KindApplicationServer, Slots: _appSlots},
		},
		Services:    p.services,
		Kinds:       p.kinds,
		Ranks:       ranks(p.floors),
		WeightStore: vrconfig.WeightStore{Slots: _weightSlots, AdapterSlots: _adapterSlots},
		CrossRegion: vrconfig.CrossRegion{BytesPerHour: _crossRegion, UrgentOverdraft: 0.2},
		Claims:      vrconfig.Claims{Shards: _claimShards, Retention: vrid.Duration(_keyRetention)},
		Record:      vrconfig.Record{Retention: vrid.Duration(_retention)},
	}
}

func ranks(floors [vrid.RankCount]float64) []vrconfig.RankPolicy {
	seconds := func(value float64) vrid.Duration { return vrid.Duration(value * float64(time.Second)) }
	policies := []vrconfig.RankPolicy{
		{Rank: vrid.RankUrgent, Target: seconds(1.5), Deadline: seconds(6), Weight: 100, Objective: 0.95},
		{Rank: vrid.RankNormal, Target: seconds(3), Deadline: seconds(10), Weight: 20, Objective: 0.95},
		{Rank: vrid.RankDeferred, Target: seconds(15), Deadline: seconds(30), Weight: 1, Objective: 0.9},
	}
	for i := range policies {
		policies[i].Floor = floors[i]
		policies[i].CallerShare = 0.5
	}
	return policies
}

// models spreads memory evenly between the smallest and the largest model, so that
// about three fit on a server, and makes the load time proportional to the memory.
func models(p profile, count int) []vrconfig.Model {
	const span = _largestModel - _smallestModel + 1
	const mean = float64(_smallestModel+_largestModel) / 2
	meanLoad := _weightSlots / p.loadsPerSecond
	list := make([]vrconfig.Model, 0, count)
	for i := range count {
		// A step that shares no factor with the span visits every size.
		gib := _smallestModel + (i*10)%span
		load := time.Duration(meanLoad * float64(gib) / mean * float64(time.Second))
		member := p.familyOf(i)
		list = append(list, vrconfig.Model{
			ID:              vrid.ModelID(fmt.Sprintf("%s-%02d@1", member.name, i+1)),
			Memory:          vrid.Bytes(gib) * vrid.GiB,
			LoadTime:        vrid.Duration(load.Round(time.Millisecond)),
			ReplicasPerZone: _replicasPerZone,
			Kind:            member.kind,
			Pool:            p.languagePool,
		})
	}
	return list
}

func (p *profile) familyOf(index int) family {
	const parts = 10
	place := index % parts
	for _, member := range p.families {
		if place < member.share {
			return member
		}
		place -= member.share
	}
	return p.families[len(p.families)-1]
}

func adapters(p profile, bases []vrconfig.Model, count int) []vrconfig.Adapter {
	const smallest, step, sizes = 128, 64, 7
	list := make([]vrconfig.Adapter, 0, count)
	for i := range count {
		list = append(list, vrconfig.Adapter{
			ID: vrid.AdapterID(fmt.Sprintf("%s-%03d@1", p.adapterName, i+1)),
			// Three adapters in a row share a base, so some bases carry several.
			Base:   bases[(i/3)%len(bases)].ID,
			Memory: vrid.Bytes(smallest+step*(i%sizes)) * vrid.MiB,
		})
	}
	return list
}

// VMs returns the platform's list for the given addresses by VM id.
func (d *Deployment) VMs(addresses map[vrid.VMID]string) []vrplatform.VM {
	list := make([]vrplatform.VM, 0, len(d.Daemons)+len(d.Servers))
	for _, daemon := range d.Daemons {
		id := vrid.VMID(daemon.ID)
		list = append(list, vrplatform.VM{
			ID: id, Kind: vrplatform.VMDaemon, Zone: daemon.Zone, Address: addresses[id], State: vrplatform.VMLive,
		})
	}
	for _, server := range d.Servers {
		id := vrid.VMID(server.ID)
		kind := vrplatform.VMLanguageServer
		if server.Kind == vrconfig.KindApplicationServer {
			kind = vrplatform.VMApplicationServer
		}
		list = append(list, vrplatform.VM{
			ID: id, Kind: kind, Pool: server.Pool, Zone: server.Zone, Address: addresses[id], State: vrplatform.VMLive,
		})
	}
	return list
}

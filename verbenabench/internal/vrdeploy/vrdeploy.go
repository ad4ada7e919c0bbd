// Package vrdeploy defines the two deployments that the bench runs, scales them to other
// sizes, and writes the settings files of their daemons.
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

// Daemon is the daemon of one entry VM.
type Daemon struct {
	ID   vrid.DaemonID
	Zone vrid.ZoneID
}

// Server is the language or application server of one endpoint VM.
type Server struct {
	ID   vrid.ServerID
	Kind vrconfig.ServerKind
	Pool vrid.PoolID
	Zone vrid.ZoneID
}

// Deployment is a fleet configuration together with the daemons and servers of its VMs.
type Deployment struct {
	Fleet   vrconfig.Fleet
	Daemons []Daemon
	Servers []Server
}

// UnknownError is returned for a name that is not the name of a deployment.
type UnknownError struct {
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("deployment %q is unknown, allowed are %s and %s", e.Name, Shuyuan, Hayabusa)
}

// Size scales a deployment. A field that is zero keeps the number of the profile.
type Size struct {
	Models   int
	Adapters int
	// Servers is the number of language servers.
	Servers int
	Daemons int
}

// profile holds the values in which the two deployments differ.
type profile struct {
	name          string
	regions       []vrconfig.Region
	languagePool  vrid.PoolID
	appPool       vrid.PoolID
	honorsFencing bool
	size          Size
	appServers    int
	// loadsPerSecond is the mean load rate of the weight store with all slots in use.
	loadsPerSecond float64
	families       []family
	adapterName    string
	kinds          []vrconfig.Kind
	services       []vrconfig.Service
	floors         [vrid.RankCount]float64
}

// family is a group of models that serve one request kind.
type family struct {
	name string
	kind vrid.KindID
	// share is the number of the family's models in every ten models.
	share int
}

// Values that both deployments share.
const (
	_serverMemory       = 96 * vrid.GiB
	_accelerators       = 8
	_languageSlots      = 16
	_appSlots           = 64
	_weightSlots        = 4
	_adapterSlots       = 32
	_replicasPerZone    = 2
	_minModelGiB        = 14
	_maxModelGiB        = 40
	_crossRegionPerHour = 20 * vrid.GiB
	_claimShards        = 6
	_recordRetention    = 400 * 24 * time.Hour
	_claimRetention     = 48 * time.Hour
	_daemonCount        = 9
)

// ByName returns the deployment with the given name, scaled to size. It returns an
// UnknownError if there is none.
func ByName(name string, size Size) (*Deployment, error) {
	switch name {
	case Shuyuan:
		return build(shuyuan(), size), nil
	case Hayabusa:
		return build(hayabusa(), size), nil
	}
	return nil, &UnknownError{Name: name}
}

func (s Size) withDefaults(defaults Size) Size {
	firstPositive := func(value, fallback int) int {
		if value > 0 {
			return value
		}
		return fallback
	}
	return Size{
		Models:   firstPositive(s.Models, defaults.Models),
		Adapters: firstPositive(s.Adapters, defaults.Adapters),
		Servers:  firstPositive(s.Servers, defaults.Servers),
		Daemons:  firstPositive(s.Daemons, defaults.Daemons),
	}
}

func build(p profile, size Size) *Deployment {
	size = size.withDefaults(p.size)
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

// zoneAt assigns count VMs to zones in contiguous blocks: of nine daemons and three zones,
// daemon-1 to daemon-3 are in the first zone.
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
		Ranks:       rankPolicies(p.floors),
		WeightStore: vrconfig.WeightStore{Slots: _weightSlots, AdapterSlots: _adapterSlots},
		CrossRegion: vrconfig.CrossRegion{BytesPerHour: _crossRegionPerHour, UrgentOverdraft: 0.2},
		Claims:      vrconfig.Claims{Shards: _claimShards, Retention: vrid.Duration(_claimRetention)},
		Record:      vrconfig.Record{Retention: vrid.Duration(_recordRetention)},
	}
}

func rankPolicies(floors [vrid.RankCount]float64) []vrconfig.RankPolicy {
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

// models returns models whose memory is spread evenly between the minimum and the maximum,
// so that about three fit on a server. The load time is proportional to the memory.
func models(p profile, count int) []vrconfig.Model {
	const sizes = _maxModelGiB - _minModelGiB + 1
	const meanGiB = float64(_minModelGiB+_maxModelGiB) / 2
	meanLoadSeconds := _weightSlots / p.loadsPerSecond
	list := make([]vrconfig.Model, 0, count)
	for i := range count {
		// The step is coprime to the number of sizes, so that every size is used.
		memoryGiB := _minModelGiB + (i*10)%sizes
		loadTime := time.Duration(meanLoadSeconds * float64(memoryGiB) / meanGiB * float64(time.Second))
		f := p.familyOf(i)
		list = append(list, vrconfig.Model{
			ID:              vrid.ModelID(fmt.Sprintf("%s-%02d@1", f.name, i+1)),
			Memory:          vrid.Bytes(memoryGiB) * vrid.GiB,
			LoadTime:        vrid.Duration(loadTime.Round(time.Millisecond)),
			ReplicasPerZone: _replicasPerZone,
			Kind:            f.kind,
			Pool:            p.languagePool,
		})
	}
	return list
}

func (p *profile) familyOf(index int) family {
	const totalShare = 10
	offset := index % totalShare
	for _, f := range p.families {
		if offset < f.share {
			return f
		}
		offset -= f.share
	}
	return p.families[len(p.families)-1]
}

func adapters(p profile, bases []vrconfig.Model, count int) []vrconfig.Adapter {
	const minMiB, stepMiB, sizes = 128, 64, 7
	list := make([]vrconfig.Adapter, 0, count)
	for i := range count {
		list = append(list, vrconfig.Adapter{
			ID: vrid.AdapterID(fmt.Sprintf("%s-%03d@1", p.adapterName, i+1)),
			// Three consecutive adapters share a base model, so that some bases have several.
			Base:   bases[(i/3)%len(bases)].ID,
			Memory: vrid.Bytes(minMiB+stepMiB*(i%sizes)) * vrid.MiB,
		})
	}
	return list
}

// VMs returns the platform's VM list. addresses maps VM IDs to their addresses.
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

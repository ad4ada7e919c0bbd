// Package vrconfig defines the fleet configuration, which operators declare for all
// daemons. The platform stores it as one versioned document; each daemon keeps the newest
// version that it has seen in a Store and never goes back to an older one.
package vrconfig

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Fleet is the complete configuration of one deployment.
type Fleet struct {
	// Version is one higher than that of the configuration that this one is derived from.
	Version vrid.ConfigVersion `json:"version"`
	// Deployment is the display name, for example "shuyuan".
	Deployment string `json:"deployment"`
	// Regions contain every availability zone exactly once.
	Regions []Region `json:"regions"`
	// Pools describe groups of identical servers; the list of VMs comes from the platform.
	Pools []Pool `json:"pools"`
	// Models are the models that may be served. Ids are unique and include the version.
	Models []Model `json:"models"`
	// Adapters are the adapters that may be served, each on a declared base model.
	Adapters []Adapter `json:"adapters"`
	// Services are the plain HTTP services besides the models.
	Services []Service `json:"services"`
	// Kinds define the rank and deadline of each kind of request.
	Kinds []Kind `json:"kinds"`
	// Ranks contain exactly one policy for each rank.
	Ranks []RankPolicy `json:"ranks"`
	// Callers are the callers with tokens; it is empty when calls need no token.
	Callers []Caller `json:"callers,omitempty"`
	// WeightStore limits concurrent loads in the whole fleet.
	WeightStore WeightStore `json:"weightStore"`
	// CrossRegion limits the traffic between regions.
	CrossRegion CrossRegion `json:"crossRegion"`
	// Claims configures idempotency keys.
	Claims Claims `json:"claims"`
	// Record configures the record of requests.
	Record Record `json:"record"`
	// Drained lists the servers that get no new work.
	Drained []vrid.ServerID `json:"drained,omitempty"`
}

// Region is a set of availability zones with cheap traffic between them.
type Region struct {
	ID    vrid.RegionID `json:"id"`
	Zones []vrid.ZoneID `json:"zones"`
}

// ServerKind is the kind of server in a pool.
type ServerKind string

// Server kinds.
const (
	KindLanguageServer    ServerKind = "languageServer"
	KindApplicationServer ServerKind = "applicationServer"
)

// Pool describes a group of servers with the same properties.
type Pool struct {
	ID   vrid.PoolID `json:"id"`
	Kind ServerKind  `json:"kind"`
	// Memory is the memory of one server that models and adapters may occupy.
	Memory vrid.Bytes `json:"memory,omitempty"`
	// Accelerators is the number of accelerators in one server; idle accelerator hours are
	// computed from it.
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is the maximum number of requests that one server runs at once.
	Slots int `json:"slots"`
	// HonorsFencing is true when the engine refuses an order with an old fencing token.
	HonorsFencing bool `json:"honorsFencing,omitempty"`
	// ChecksIssuer is true when the server checks who issued an order.
	ChecksIssuer bool `json:"checksIssuer,omitempty"`
}

// Model is one version of a model.
type Model struct {
	ID vrid.ModelID `json:"id"`
	// Memory is the memory that one replica occupies on a server.
	Memory vrid.Bytes `json:"memory"`
	// LoadTime is the expected duration of a load at the full speed of the weight store.
	LoadTime vrid.Duration `json:"loadTime"`
	// ReplicasPerZone is the maximum number of replicas in each zone.
	ReplicasPerZone int `json:"replicasPerZone"`
	// Zones are the zones that may hold the model; empty means every zone.
	Zones []vrid.ZoneID `json:"zones,omitempty"`
	// Kind is the kind of requests that don't name a kind.
	Kind vrid.KindID `json:"kind"`
	// Pool is the pool whose servers may hold the model.
	Pool vrid.PoolID `json:"pool"`
}

// Adapter is a set of weights on top of a base model.
type Adapter struct {
	ID   vrid.AdapterID `json:"id"`
	Base vrid.ModelID   `json:"base"`
	// Memory is the memory that the adapter occupies in addition to its base model.
	Memory vrid.Bytes `json:"memory"`
	// Kind is the kind of requests that don't name a kind; empty means that of the base
	// model.
	Kind vrid.KindID `json:"kind,omitempty"`
}

// Service is a plain HTTP service on a pool of application servers.
type Service struct {
	ID   vrid.ServiceID `json:"id"`
	Pool vrid.PoolID    `json:"pool"`
	// Calls are matched in order by method and path prefix.
	Calls []CallRule `json:"calls"`
	// OutcomePath, when set, answers GET OutcomePath/{key} with the outcome of a
	// call that ran under this idempotency key, and 404 when none ran.
	OutcomePath string `json:"outcomePath,omitempty"`
}

// CallRule declares the calls to a service that match a method and a path prefix.
type CallRule struct {
	// Method is an HTTP method, or "*".
	Method string `json:"method"`
	// Path is a prefix that starts with "/".
	Path string `json:"path"`
	// Idempotent is true when calls may be repeated; other calls run at most once per
	// idempotency key.
	Idempotent bool        `json:"idempotent"`
	Kind       vrid.KindID `json:"kind"`
}

// Kind is a kind of request with its rank and deadline.
type Kind struct {
	ID   vrid.KindID `json:"id"`
	Rank vrid.Rank   `json:"rank"`
	// Deadline is the time until the first token or the answer; zero means the rank's
	// deadline.
	Deadline vrid.Duration `json:"deadline,omitempty"`
}

// RankPolicy is the service level and the share of capacity of a rank.
type RankPolicy struct {
	Rank vrid.Rank `json:"rank"`
	// Target is the time to first token against which the service level is measured.
	Target vrid.Duration `json:"target"`
	// Deadline is the time after which a waiting request is refused; at least Target.
	Deadline vrid.Duration `json:"deadline"`
	// Weight is the value of a served request of this rank relative to the other ranks.
	Weight float64 `json:"worth"`
	// Floor is the fraction of capacity that the rank keeps when requests of other ranks
	// exceed the capacity; the floors of all ranks add up to at most 1.
	Floor float64 `json:"floor"`
	// Objective is the fraction of requests that must be served within Target.
	Objective float64 `json:"objective"`
	// CallerShare is the maximum fraction of the rank's waiting requests that one caller
	// may have while others wait.
	CallerShare float64 `json:"callerShare"`
}

// Caller is a caller that authenticates with a token.
type Caller struct {
	ID vrid.CallerID `json:"id"`
	// TokenHash is the hex SHA-256 of the token; the token itself is never stored.
	TokenHash string `json:"tokenHash"`
}

// WeightStore limits concurrent loads from the weight store.
type WeightStore struct {
	// Slots is the number of model loads that run at full speed at once.
	Slots int `json:"slots"`
	// AdapterSlots is the number of adapter loads that run at full speed at once.
	AdapterSlots int `json:"adapterSlots"`
}

// CrossRegion limits the billed traffic between regions.
type CrossRegion struct {
	// BytesPerHour is the traffic budget of the whole fleet.
	BytesPerHour vrid.Bytes `json:"bytesPerHour"`
	// UrgentOverdraft is the fraction of the budget by which urgent work may exceed it.
	UrgentOverdraft float64 `json:"urgentOverdraft"`
}

// Claims configures idempotency keys.
type Claims struct {
	// Shards is the number of logs that hold the claims of idempotency keys; it never
	// changes after the first version.
	Shards int `json:"shards"`
	// Retention is how long a key is remembered.
	Retention vrid.Duration `json:"retention"`
}

// Record configures the record of requests.
type Record struct {
	// Retention is how long blocks of the record are kept.
	Retention vrid.Duration `json:"retention"`
}

// RankPolicyOf returns the policy of a rank, or one with only the rank set if none is
// declared.
func (f *Fleet) RankPolicyOf(rank vrid.Rank) RankPolicy {
	for _, policy := range f.Ranks {
		if policy.Rank == rank {
			return policy
		}
	}
	return RankPolicy{Rank: rank}
}

// Zones returns every zone, in the order in which the regions list them.
func (f *Fleet) Zones() []vrid.ZoneID {
	var zones []vrid.ZoneID
	for _, region := range f.Regions {
		zones = append(zones, region.Zones...)
	}
	return zones
}

// RegionOf returns the region of a zone and whether the zone is declared.
func (f *Fleet) RegionOf(zone vrid.ZoneID) (vrid.RegionID, bool) {
	for _, region := range f.Regions {
		for _, candidate := range region.Zones {
			if candidate == zone {
				return region.ID, true
			}
		}
	}
	return "", false
}

// DeadlineOf returns the deadline of a kind, or that of its rank when it has none.
func (f *Fleet) DeadlineOf(kind Kind) time.Duration {
	if kind.Deadline > 0 {
		return kind.Deadline.Std()
	}
	return f.RankPolicyOf(kind.Rank).Deadline.Std()
}

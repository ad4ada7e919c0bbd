// Package vrconfig is the fleet configuration: what operators declare for all
// daemons. One document with one version lives on the platform; a daemon holds the
// newest version that it has seen in a Store and never goes back.
package vrconfig

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Fleet is the whole configuration of one deployment.
type Fleet struct {
	// Version is one higher than that of the configuration it was made from.
	Version vrid.ConfigVersion `json:"version"`
	// Deployment is the display name, for example "shuyuan".
	Deployment string `json:"deployment"`
	// Regions list every availability zone exactly once.
	Regions []Region `json:"regions"`
	// Pools describe servers by kind; the platform's list says which VMs exist.
	Pools []Pool `json:"pools"`
	// Models may be served; an id stands once, versions are part of the id.
	Models []Model `json:"models"`
	// Adapters each name a declared base model.
	Adapters []Adapter `json:"adapters"`
	// Services are the plain services beside the models.
	Services []Service `json:"services"`
	// Kinds give rank and deadline to requests.
	Kinds []Kind `json:"kinds"`
	// Ranks hold exactly one policy for each rank.
	Ranks []RankPolicy `json:"ranks"`
	// Callers is empty when any caller may call without a token.
	Callers []Caller `json:"callers,omitempty"`
	// WeightStore limits loads over the whole fleet.
	WeightStore WeightStore `json:"weightStore"`
	// CrossRegion limits traffic between regions.
	CrossRegion CrossRegion `json:"crossRegion"`
	// Claims configures idempotency keys.
	Claims Claims `json:"claims"`
	// Record configures the record of requests.
	Record Record `json:"record"`
	// Drained servers get no new work.
	Drained []vrid.ServerID `json:"drained,omitempty"`
}

// Region is a set of availability zones with cheap traffic between them.
type Region struct {
	ID    vrid.RegionID `json:"id"`
	Zones []vrid.ZoneID `json:"zones"`
}

// ServerKind says what runs on the servers of a pool.
type ServerKind string

// The kinds of servers.
const (
	KindLanguageServer    ServerKind = "languageServer"
	KindApplicationServer ServerKind = "applicationServer"
)

// Pool describes servers that are alike.
type Pool struct {
	ID   vrid.PoolID `json:"id"`
	Kind ServerKind  `json:"kind"`
	// Memory is what models and adapters may use on one server.
	Memory vrid.Bytes `json:"memory,omitempty"`
	// Accelerators of one server, for the count of idle accelerator hours.
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is how many requests one server runs at once.
	Slots int `json:"slots"`
	// HonorsFencing is true when the engine refuses an order with an old number.
	HonorsFencing bool `json:"honorsFencing,omitempty"`
	// ChecksIssuer is true when the server checks who gives it an order.
	ChecksIssuer bool `json:"checksIssuer,omitempty"`
}

// Model is one version of a model.
type Model struct {
	ID vrid.ModelID `json:"id"`
	// Memory that one replica occupies on a server.
	Memory vrid.Bytes `json:"memory"`
	// LoadTime is the expected time of a load at full speed of the weight store.
	LoadTime vrid.Duration `json:"loadTime"`
	// ReplicasPerZone caps the replicas in each zone.
	ReplicasPerZone int `json:"replicasPerZone"`
	// Zones that may hold the model; empty means every zone.
	Zones []vrid.ZoneID `json:"zones,omitempty"`
	// Kind is the kind of requests that name none.
	Kind vrid.KindID `json:"kind"`
	// Pool that may hold the model.
	Pool vrid.PoolID `json:"pool"`
}

// Adapter is a set of weights on top of a base model.
type Adapter struct {
	ID     vrid.AdapterID `json:"id"`
	Base   vrid.ModelID   `json:"base"`
	Memory vrid.Bytes     `json:"memory"`
	Kind   vrid.KindID    `json:"kind,omitempty"`
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

// CallRule is one kind of call to a service.
type CallRule struct {
	// Method is an HTTP method, or "*".
	Method string `json:"method"`
	// Path is a prefix that starts with "/".
	Path string `json:"path"`
	// Idempotent calls may be repeated; others run at most once under their key.
	Idempotent bool        `json:"idempotent"`
	Kind       vrid.KindID `json:"kind"`
}

// Kind is a kind of request with its rank.
type Kind struct {
	ID   vrid.KindID `json:"id"`
	Rank vrid.Rank   `json:"rank"`
	// Deadline until the first token or the answer; zero takes the rank's.
	Deadline vrid.Duration `json:"deadline,omitempty"`
}

// RankPolicy is what the operator promises to a rank.
type RankPolicy struct {
	Rank vrid.Rank `json:"rank"`
	// Target is the time to the first token that service levels are measured by.
	Target vrid.Duration `json:"target"`
	// Deadline is when a waiting request is refused; at least Target.
	Deadline vrid.Duration `json:"deadline"`
	// Weight weighs a served request of this rank against the other ranks.
	Weight float64 `json:"worth"`
	// Floor is the share of capacity that the rank keeps in a flood of others; the
	// floors of all ranks add up to at most 1.
	Floor float64 `json:"floor"`
	// Objective is the part of requests that must be served within Target.
	Objective float64 `json:"objective"`
	// CallerShare is the largest part of the rank that one caller may take while
	// others wait.
	CallerShare float64 `json:"callerShare"`
}

// Caller may call with a token.
type Caller struct {
	ID vrid.CallerID `json:"id"`
	// TokenHash is the hex SHA-256 of the token; the token itself is never stored.
	TokenHash string `json:"tokenHash"`
}

// WeightStore limits loads.
type WeightStore struct {
	// Slots is how many loads run at once at full speed.
	Slots int `json:"slots"`
	// AdapterSlots is how many adapter loads run at once at full speed.
	AdapterSlots int `json:"adapterSlots"`
}

// CrossRegion limits billed traffic.
type CrossRegion struct {
	// BytesPerHour is the budget of the whole fleet.
	BytesPerHour vrid.Bytes `json:"bytesPerHour"`
	// UrgentOverdraft is the part of the budget that urgent work may use beyond it.
	UrgentOverdraft float64 `json:"urgentOverdraft"`
}

// Claims configures idempotency keys.
type Claims struct {
	// Shards is the number of claim logs; it never changes after the first version.
	Shards int `json:"shards"`
	// Retention is how long a key is remembered.
	Retention vrid.Duration `json:"retention"`
}

// Record configures the record.
type Record struct {
	// Retention is how long blocks are kept.
	Retention vrid.Duration `json:"retention"`
}

// RankPolicyOf returns the policy of a rank.
func (f *Fleet) RankPolicyOf(rank vrid.Rank) RankPolicy {
	for _, policy := range f.Ranks {
		if policy.Rank == rank {
			return policy
		}
	}
	return RankPolicy{Rank: rank}
}

// Zones returns every zone in the order of the regions.
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

// DeadlineOf returns the deadline of a kind, taken from its rank when it has none.
func (f *Fleet) DeadlineOf(kind Kind) time.Duration {
	if kind.Deadline > 0 {
		return kind.Deadline.Std()
	}
	return f.RankPolicyOf(kind.Rank).Deadline.Std()
}

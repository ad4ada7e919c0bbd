package vrconfig

import (
	"strings"
	"sync/atomic"

	"verbenaroute.example/verbenacore/vrid"
)

// ResolvedModel is what the model name in a caller's request resolves to.
type ResolvedModel struct {
	Model vrid.ModelID
	// Adapter is empty when the name is that of a model.
	Adapter vrid.AdapterID
	// Kind is the adapter's kind of request, or the model's if the adapter declares none.
	Kind vrid.KindID
}

// Index is a configuration with lookups by id. It is immutable.
type Index struct {
	Fleet    *Fleet
	models   map[vrid.ModelID]*Model
	adapters map[vrid.AdapterID]*Adapter
	services map[vrid.ServiceID]*Service
	kinds    map[vrid.KindID]*Kind
	pools    map[vrid.PoolID]*Pool
	regions  map[vrid.ZoneID]vrid.RegionID
	// callers is keyed by the lower-case hex SHA-256 hash of the token.
	callers map[string]vrid.CallerID
	drained map[vrid.ServerID]bool
}

// NewIndex builds the lookups of a valid configuration.
func NewIndex(fleet *Fleet) *Index {
	x := &Index{
		Fleet:    fleet,
		models:   make(map[vrid.ModelID]*Model, len(fleet.Models)),
		adapters: make(map[vrid.AdapterID]*Adapter, len(fleet.Adapters)),
		services: make(map[vrid.ServiceID]*Service, len(fleet.Services)),
		kinds:    make(map[vrid.KindID]*Kind, len(fleet.Kinds)),
		pools:    make(map[vrid.PoolID]*Pool, len(fleet.Pools)),
		regions:  make(map[vrid.ZoneID]vrid.RegionID),
		callers:  make(map[string]vrid.CallerID, len(fleet.Callers)),
		drained:  make(map[vrid.ServerID]bool, len(fleet.Drained)),
	}
	for i := range fleet.Models {
		x.models[fleet.Models[i].ID] = &fleet.Models[i]
	}
	for i := range fleet.Adapters {
		x.adapters[fleet.Adapters[i].ID] = &fleet.Adapters[i]
	}
	for i := range fleet.Services {
		x.services[fleet.Services[i].ID] = &fleet.Services[i]
	}
	for i := range fleet.Kinds {
		x.kinds[fleet.Kinds[i].ID] = &fleet.Kinds[i]
	}
	for i := range fleet.Pools {
		x.pools[fleet.Pools[i].ID] = &fleet.Pools[i]
	}
	for _, region := range fleet.Regions {
		for _, zone := range region.Zones {
			x.regions[zone] = region.ID
		}
	}
	for _, caller := range fleet.Callers {
		x.callers[strings.ToLower(caller.TokenHash)] = caller.ID
	}
	for _, server := range fleet.Drained {
		x.drained[server] = true
	}
	return x
}

// Resolve looks up the model name in a caller's request, which may be that of a model or of
// an adapter.
func (x *Index) Resolve(name string) (ResolvedModel, bool) {
	if model, ok := x.models[vrid.ModelID(name)]; ok {
		return ResolvedModel{Model: model.ID, Kind: model.Kind}, true
	}
	adapter, ok := x.adapters[vrid.AdapterID(name)]
	if !ok {
		return ResolvedModel{}, false
	}
	resolved := ResolvedModel{Model: adapter.Base, Adapter: adapter.ID, Kind: adapter.Kind}
	if base, ok := x.models[adapter.Base]; ok && resolved.Kind == "" {
		resolved.Kind = base.Kind
	}
	return resolved, true
}

// Model returns a declared model or nil.
func (x *Index) Model(id vrid.ModelID) *Model { return x.models[id] }

// Adapter returns a declared adapter or nil.
func (x *Index) Adapter(id vrid.AdapterID) *Adapter { return x.adapters[id] }

// Service returns a declared service or nil.
func (x *Index) Service(id vrid.ServiceID) *Service { return x.services[id] }

// Kind returns a declared kind of request or nil.
func (x *Index) Kind(id vrid.KindID) *Kind { return x.kinds[id] }

// Pool returns a declared pool or nil.
func (x *Index) Pool(id vrid.PoolID) *Pool { return x.pools[id] }

// Region returns the region of a zone, or "".
func (x *Index) Region(zone vrid.ZoneID) vrid.RegionID { return x.regions[zone] }

// Drained reports whether an operator drained the server.
func (x *Index) Drained(server vrid.ServerID) bool { return x.drained[server] }

// Caller returns the caller whose token has the given SHA-256 hash in lower-case hex digits.
func (x *Index) Caller(tokenHash string) (vrid.CallerID, bool) {
	id, ok := x.callers[tokenHash]
	return id, ok
}

// RequiresToken reports whether calls need a token, which is so if the configuration
// declares any callers.
func (x *Index) RequiresToken() bool { return len(x.callers) > 0 }

// AllowedIn reports whether the model may be loaded in a zone.
func (m *Model) AllowedIn(zone vrid.ZoneID) bool {
	if len(m.Zones) == 0 {
		return true
	}
	for _, allowed := range m.Zones {
		if allowed == zone {
			return true
		}
	}
	return false
}

// MatchCall returns the first declared call that matches the method and path, or nil.
func (s *Service) MatchCall(method, path string) *CallRule {
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Method != "*" && !strings.EqualFold(call.Method, method) {
			continue
		}
		if strings.HasPrefix(path, call.Path) {
			return call
		}
	}
	return nil
}

// Store holds the newest configuration that a daemon has seen. It is safe for
// concurrent use.
type Store struct {
	current atomic.Pointer[Index]
}

// Current returns the newest configuration, or nil before the first one.
func (s *Store) Current() *Index { return s.current.Load() }

// Version returns the newest version, 0 before the first one.
func (s *Store) Version() vrid.ConfigVersion {
	if index := s.current.Load(); index != nil {
		return index.Fleet.Version
	}
	return 0
}

// Advance stores a configuration if it is newer than the current one, and reports whether
// it did. It never goes back to an older version, so that a stale copy from a peer that was
// cut off can't revert a daemon.
func (s *Store) Advance(index *Index) bool {
	for {
		current := s.current.Load()
		if current != nil && current.Fleet.Version >= index.Fleet.Version {
			return false
		}
		if s.current.CompareAndSwap(current, index) {
			return true
		}
	}
}

// Replace stores a configuration without comparing versions. Only the fault injection of
// the fuzz test uses it, to check that the test detects a daemon that goes back to an older
// version.
func (s *Store) Replace(index *Index) { s.current.Store(index) }

package vrquery

import (
	"fmt"
	"slices"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Change is one field that a command changes. Before is empty for something new,
// After for something retired.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns one line for a person, for example "rank urgent target: 1.5s -> 2s".
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("%s: %s (new)", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("%s: %s (retired)", c.Path, c.Before)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
}

// Apply returns the configuration that the command leads to, checked as a whole, and
// what changes. The given configuration stays as it is. A command that changes
// nothing returns it and no changes.
func Apply(fleet *vrconfig.Fleet, command *Statement) (*vrconfig.Fleet, []Change, error) {
	next := *fleet
	changes, err := command.apply(&next)
	if err != nil {
		return nil, nil, locate(command.Text, err)
	}
	if len(changes) == 0 {
		return fleet, nil, nil
	}
	next.Version++
	if err := next.Validate(); err != nil {
		return nil, nil, err
	}
	return &next, changes, nil
}

func (s *Statement) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	switch {
	case s.Declare != nil && s.Declare.Service != nil:
		return declareService(fleet, s.Declare.Service)
	case s.Declare != nil:
		return declareThing(fleet, s.Declare.Thing)
	case s.Retire != nil:
		return retire(fleet, s.Retire)
	case s.Set != nil:
		return s.Set.apply(fleet)
	case s.Drain != nil:
		return drain(fleet, vrid.ServerID(s.Drain.Text))
	case s.Undrain != nil:
		return undrain(fleet, *s.Undrain)
	}
	return nil, fmt.Errorf("%q is a query, not a command", s.Text)
}

func declareThing(fleet *vrconfig.Fleet, thing *Thing) ([]Change, error) {
	switch thing.Noun {
	case "model":
		return declare(&fleet.Models, thing, func(m *vrconfig.Model) *vrid.ModelID { return &m.ID }, _modelAttributes)
	case "adapter":
		return declare(&fleet.Adapters, thing, func(a *vrconfig.Adapter) *vrid.AdapterID { return &a.ID }, _adapterAttributes)
	case "kind":
		return declare(&fleet.Kinds, thing, func(k *vrconfig.Kind) *vrid.KindID { return &k.ID }, _kindAttributes)
	case "pool":
		return declare(&fleet.Pools, thing, func(p *vrconfig.Pool) *vrid.PoolID { return &p.ID }, _poolAttributes)
	case "caller":
		return declare(&fleet.Callers, thing, func(c *vrconfig.Caller) *vrid.CallerID { return &c.ID }, _callerAttributes)
	default:
		return declare(&fleet.Regions, thing, func(r *vrconfig.Region) *vrid.RegionID { return &r.ID }, _regionAttributes)
	}
}

// declare adds a thing to a list or changes the one with its name. The list is copied
// first, because the old configuration shares it.
func declare[T any, I ~string](list *[]T, thing *Thing, id func(*T) *I, known []attribute[T]) ([]Change, error) {
	name, err := nameOf[I](thing.Name)
	if err != nil {
		return nil, err
	}
	*list = slices.Clone(*list)
	at := slices.IndexFunc(*list, func(t T) bool { return *id(&t) == name })
	path := thing.Noun + " " + thing.Name.Text
	if at < 0 {
		var fresh T
		*id(&fresh) = name
		if err := setAttributes(&fresh, known, thing.Attributes, thing.Name, true); err != nil {
			return nil, err
		}
		*list = append(*list, fresh)
		return differences(path, known, nil, &fresh), nil
	}
	before := (*list)[at]
	if err := setAttributes(&(*list)[at], known, thing.Attributes, thing.Name, false); err != nil {
		return nil, err
	}
	return differences(path, known, &before, &(*list)[at]), nil
}

func retire(fleet *vrconfig.Fleet, command *Retire) ([]Change, error) {
	switch command.Noun {
	case "model":
		return remove(&fleet.Models, command, func(m *vrconfig.Model) vrid.ModelID { return m.ID }, _modelAttributes)
	case "adapter":
		return remove(&fleet.Adapters, command, func(a *vrconfig.Adapter) vrid.AdapterID { return a.ID }, _adapterAttributes)
	case "service":
		return remove(&fleet.Services, command, func(s *vrconfig.Service) vrid.ServiceID { return s.ID }, _serviceAttributes)
	case "kind":
		return remove(&fleet.Kinds, command, func(k *vrconfig.Kind) vrid.KindID { return k.ID }, _kindAttributes)
	case "pool":
		return remove(&fleet.Pools, command, func(p *vrconfig.Pool) vrid.PoolID { return p.ID }, _poolAttributes)
	case "caller":
		return remove(&fleet.Callers, command, func(c *vrconfig.Caller) vrid.CallerID { return c.ID }, _callerAttributes)
	default:
		return remove(&fleet.Regions, command, func(r *vrconfig.Region) vrid.RegionID { return r.ID }, _regionAttributes)
	}
}

func remove[T any, I ~string](list *[]T, command *Retire, id func(*T) I, known []attribute[T]) ([]Change, error) {
	at := slices.IndexFunc(*list, func(t T) bool { return id(&t) == I(command.Name.Text) })
	if at < 0 {
		return nil, expect(command.Name, "a declared %s", command.Noun)
	}
	retired := (*list)[at]
	*list = slices.Delete(slices.Clone(*list), at, at+1)
	return differences(command.Noun+" "+command.Name.Text, known, &retired, nil), nil
}

// _serviceAttributes only describe a service in changes; its declaration has its own
// grammar.
var _serviceAttributes = []attribute[vrconfig.Service]{
	{name: "pool", get: func(s *vrconfig.Service) string { return string(s.Pool) }},
	{name: "outcome", get: func(s *vrconfig.Service) string { return s.OutcomePath }},
	{name: "calls", get: func(s *vrconfig.Service) string { return formatCalls(s.Calls) }},
}

func formatCalls(calls []vrconfig.Call) string {
	texts := make([]string, len(calls))
	for i, call := range calls {
		texts[i] = fmt.Sprintf("%s %s %s kind %s", call.Method, call.Path, idempotence(call), call.Kind)
	}
	return strings.Join(texts, "; ")
}

func idempotence(call vrconfig.Call) string {
	if call.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func declareService(fleet *vrconfig.Fleet, command *DeclareService) ([]Change, error) {
	fleet.Services = slices.Clone(fleet.Services)
	id := vrid.ServiceID(command.Name.Text)
	path := "service " + command.Name.Text
	at := slices.IndexFunc(fleet.Services, func(s vrconfig.Service) bool { return s.ID == id })
	if at < 0 {
		fresh := vrconfig.Service{ID: id}
		if err := command.fill(&fresh); err != nil {
			return nil, err
		}
		fleet.Services = append(fleet.Services, fresh)
		return differences(path, _serviceAttributes, nil, &fresh), nil
	}
	before := fleet.Services[at]
	if err := command.fill(&fleet.Services[at]); err != nil {
		return nil, err
	}
	return differences(path, _serviceAttributes, &before, &fleet.Services[at]), nil
}

// fill sets what is written. Calls are matched in order, so a declaration with calls
// replaces the whole list.
func (d *DeclareService) fill(service *vrconfig.Service) error {
	var calls []vrconfig.Call
	for _, part := range d.Parts {
		switch {
		case part.Pool != nil:
			service.Pool = vrid.PoolID(part.Pool.Text)
		case part.Outcome != nil:
			service.OutcomePath = part.Outcome.Text
		case part.Call != nil:
			if !strings.HasPrefix(part.Call.Path.Text, "/") {
				return expect(part.Call.Path, `a path that starts with "/"`)
			}
			calls = append(calls, vrconfig.Call{
				Method: part.Call.Method.Text, Path: part.Call.Path.Text,
				Idempotent: !part.Call.NotIdempotent, Kind: vrid.KindID(part.Call.Kind.Text),
			})
		}
	}
	if len(calls) > 0 {
		service.Calls = calls
	}
	if service.Pool == "" || len(service.Calls) == 0 {
		return expect(d.Name, "a name that is declared already, or pool and at least one call for a new service")
	}
	return nil
}

func (s *Set) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	switch {
	case s.Rank != nil:
		return s.Rank.apply(fleet)
	case s.Replicas != nil:
		return s.Replicas.apply(fleet)
	case s.Budget != nil:
		return s.Budget.apply(fleet)
	case s.WeightStore != nil:
		return setSection("weightStore", &fleet.WeightStore, _storeAttributes, s.WeightStore)
	case s.Record != nil:
		return setSection("record", &fleet.Record, _recordAttributes, s.Record)
	default:
		return setSection("claims", &fleet.Claims, _claimsAttributes, s.Claims)
	}
}

func setSection[T any](path string, section *T, known []attribute[T], written []*Attribute) ([]Change, error) {
	before := *section
	if err := setAttributes(section, known, written, Value{}, false); err != nil {
		return nil, err
	}
	return differences(path, known, &before, section), nil
}

func (s *SetRank) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	rank, err := rankOf(s.Rank)
	if err != nil {
		return nil, err
	}
	fleet.Ranks = slices.Clone(fleet.Ranks)
	for i := range fleet.Ranks {
		if fleet.Ranks[i].Rank == rank {
			return setSection("rank "+rank.String(), &fleet.Ranks[i], _rankAttributes, s.Attributes)
		}
	}
	return nil, expect(s.Rank, "a rank that has a policy")
}

func (s *SetReplicas) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	declared := slices.ContainsFunc(fleet.Models, func(m vrconfig.Model) bool { return string(m.ID) == s.Model.Text })
	if !declared {
		return nil, expect(s.Model, "a declared model")
	}
	replicas := &Attribute{Name: Value{Pos: s.Count.Pos, Text: "replicas"}, Values: []Value{s.Count}}
	return declareThing(fleet, &Thing{Noun: "model", Name: s.Model, Attributes: []*Attribute{replicas}})
}

func (s *SetBudget) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	written := []*Attribute{{Name: Value{Text: "bytesPerHour"}, Values: []Value{s.Bytes}}}
	if s.Overdraft != nil {
		written = append(written, &Attribute{Name: Value{Text: "overdraft"}, Values: []Value{*s.Overdraft}})
	}
	return setSection("budget crossRegion", &fleet.CrossRegion, _budgetAttributes, written)
}

func drain(fleet *vrconfig.Fleet, server vrid.ServerID) ([]Change, error) {
	if slices.Contains(fleet.Drained, server) {
		return nil, nil
	}
	fleet.Drained = append(slices.Clone(fleet.Drained), server)
	return []Change{{Path: "server " + string(server), After: "drained"}}, nil
}

func undrain(fleet *vrconfig.Fleet, server Value) ([]Change, error) {
	at := slices.Index(fleet.Drained, vrid.ServerID(server.Text))
	if at < 0 {
		return nil, expect(server, "a drained server")
	}
	fleet.Drained = slices.Delete(slices.Clone(fleet.Drained), at, at+1)
	return []Change{{Path: "server " + server.Text, Before: "drained"}}, nil
}

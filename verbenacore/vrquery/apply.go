package vrquery

import (
	"fmt"
	"slices"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Change is the change of one field by a command. Before is empty for an added object,
// After for a retired one.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the change as one human-readable line, for example
// "rank urgent target: 1.5s -> 2s".
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("%s: %s (new)", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("%s: %s (retired)", c.Path, c.Before)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
}

// Apply applies the command to a copy of fleet, validates the result as a whole and
// returns it with its changes. If the command changes nothing, Apply returns fleet itself
// and no changes.
func Apply(fleet *vrconfig.Fleet, command *Statement) (*vrconfig.Fleet, []Change, error) {
	next := *fleet
	changes, err := command.apply(&next)
	if err != nil {
		return nil, nil, addPosition(command.Text, err)
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

// declare adds an object to a list, or changes the object of that name. It copies the
// list first, because the previous configuration shares it.
func declare[T any, I ~string](list *[]T, thing *Thing, id func(*T) *I, schema []attribute[T]) ([]Change, error) {
	name, err := parseName[I](thing.Name)
	if err != nil {
		return nil, err
	}
	*list = slices.Clone(*list)
	index := slices.IndexFunc(*list, func(t T) bool { return *id(&t) == name })
	path := thing.Noun + " " + thing.Name.Text
	if index < 0 {
		var added T
		*id(&added) = name
		if err := setAttributes(&added, schema, thing.Attributes, thing.Name, true); err != nil {
			return nil, err
		}
		*list = append(*list, added)
		return diffAttributes(path, schema, nil, &added), nil
	}
	before := (*list)[index]
	if err := setAttributes(&(*list)[index], schema, thing.Attributes, thing.Name, false); err != nil {
		return nil, err
	}
	return diffAttributes(path, schema, &before, &(*list)[index]), nil
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

func remove[T any, I ~string](list *[]T, command *Retire, id func(*T) I, schema []attribute[T]) ([]Change, error) {
	index := slices.IndexFunc(*list, func(t T) bool { return id(&t) == I(command.Name.Text) })
	if index < 0 {
		return nil, expectedError(command.Name, "a declared %s", command.Noun)
	}
	retired := (*list)[index]
	*list = slices.Delete(slices.Clone(*list), index, index+1)
	return diffAttributes(command.Noun+" "+command.Name.Text, schema, &retired, nil), nil
}

// _serviceAttributes only describes a service in changes and has no setters, because
// service declarations have their own grammar.
var _serviceAttributes = []attribute[vrconfig.Service]{
	{name: "pool", get: func(s *vrconfig.Service) string { return string(s.Pool) }},
	{name: "outcome", get: func(s *vrconfig.Service) string { return s.OutcomePath }},
	{name: "calls", get: func(s *vrconfig.Service) string { return formatCalls(s.Calls) }},
}

func formatCalls(calls []vrconfig.CallRule) string {
	texts := make([]string, len(calls))
	for i, call := range calls {
		texts[i] = fmt.Sprintf("%s %s %s kind %s", call.Method, call.Path, formatIdempotent(call), call.Kind)
	}
	return strings.Join(texts, "; ")
}

func formatIdempotent(call vrconfig.CallRule) string {
	if call.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func declareService(fleet *vrconfig.Fleet, command *DeclareService) ([]Change, error) {
	fleet.Services = slices.Clone(fleet.Services)
	id := vrid.ServiceID(command.Name.Text)
	path := "service " + command.Name.Text
	index := slices.IndexFunc(fleet.Services, func(s vrconfig.Service) bool { return s.ID == id })
	if index < 0 {
		added := vrconfig.Service{ID: id}
		if err := command.applyTo(&added); err != nil {
			return nil, err
		}
		fleet.Services = append(fleet.Services, added)
		return diffAttributes(path, _serviceAttributes, nil, &added), nil
	}
	before := fleet.Services[index]
	if err := command.applyTo(&fleet.Services[index]); err != nil {
		return nil, err
	}
	return diffAttributes(path, _serviceAttributes, &before, &fleet.Services[index]), nil
}

// applyTo sets the declared fields of service. Calls are matched in order, so a
// declaration that contains calls replaces the whole list.
func (d *DeclareService) applyTo(service *vrconfig.Service) error {
	var calls []vrconfig.CallRule
	for _, part := range d.Parts {
		switch {
		case part.Pool != nil:
			service.Pool = vrid.PoolID(part.Pool.Text)
		case part.Outcome != nil:
			service.OutcomePath = part.Outcome.Text
		case part.Call != nil:
			if !strings.HasPrefix(part.Call.Path.Text, "/") {
				return expectedError(part.Call.Path, `a path that starts with "/"`)
			}
			calls = append(calls, vrconfig.CallRule{
				Method: part.Call.Method.Text, Path: part.Call.Path.Text,
				Idempotent: !part.Call.NotIdempotent, Kind: vrid.KindID(part.Call.Kind.Text),
			})
		}
	}
	if len(calls) > 0 {
		service.Calls = calls
	}
	if service.Pool == "" || len(service.Calls) == 0 {
		return expectedError(d.Name, "a name that is declared already, or pool and at least one call for a new service")
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
		return setSection("weightStore", &fleet.WeightStore, _weightStoreAttributes, s.WeightStore)
	case s.Record != nil:
		return setSection("record", &fleet.Record, _recordAttributes, s.Record)
	default:
		return setSection("claims", &fleet.Claims, _claimsAttributes, s.Claims)
	}
}

func setSection[T any](path string, section *T, schema []attribute[T], assignments []*Attribute) ([]Change, error) {
	before := *section
	if err := setAttributes(section, schema, assignments, Value{}, false); err != nil {
		return nil, err
	}
	return diffAttributes(path, schema, &before, section), nil
}

func (s *SetRank) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	rank, err := parseRank(s.Rank)
	if err != nil {
		return nil, err
	}
	fleet.Ranks = slices.Clone(fleet.Ranks)
	for i := range fleet.Ranks {
		if fleet.Ranks[i].Rank == rank {
			return setSection("rank "+rank.String(), &fleet.Ranks[i], _rankAttributes, s.Attributes)
		}
	}
	return nil, expectedError(s.Rank, "a rank that has a policy")
}

func (s *SetReplicas) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	declared := slices.ContainsFunc(fleet.Models, func(m vrconfig.Model) bool { return string(m.ID) == s.Model.Text })
	if !declared {
		return nil, expectedError(s.Model, "a declared model")
	}
	replicas := &Attribute{Name: Value{Pos: s.Count.Pos, Text: "replicas"}, Values: []Value{s.Count}}
	return declareThing(fleet, &Thing{Noun: "model", Name: s.Model, Attributes: []*Attribute{replicas}})
}

func (s *SetBudget) apply(fleet *vrconfig.Fleet) ([]Change, error) {
	assignments := []*Attribute{{Name: Value{Text: "bytesPerHour"}, Values: []Value{s.Bytes}}}
	if s.Overdraft != nil {
		assignments = append(assignments, &Attribute{Name: Value{Text: "overdraft"}, Values: []Value{*s.Overdraft}})
	}
	return setSection("budget crossRegion", &fleet.CrossRegion, _budgetAttributes, assignments)
}

func drain(fleet *vrconfig.Fleet, server vrid.ServerID) ([]Change, error) {
	if slices.Contains(fleet.Drained, server) {
		return nil, nil
	}
	fleet.Drained = append(slices.Clone(fleet.Drained), server)
	return []Change{{Path: "server " + string(server), After: "drained"}}, nil
}

func undrain(fleet *vrconfig.Fleet, server Value) ([]Change, error) {
	index := slices.Index(fleet.Drained, vrid.ServerID(server.Text))
	if index < 0 {
		return nil, expectedError(server, "a drained server")
	}
	fleet.Drained = slices.Delete(slices.Clone(fleet.Drained), index, index+1)
	return []Change{{Path: "server " + server.Text, Before: "drained"}}, nil
}

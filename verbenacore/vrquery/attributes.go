package vrquery

import (
	"fmt"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// attribute is a settable field of a declared object of type T.
type attribute[T any] struct {
	name     string
	required bool
	// list allows more than one value.
	list bool
	set  func(*T, []Value) error
	get  func(*T) string
}

// scalar returns an attribute that takes one value.
func scalar[T, V any](name string, field func(*T) *V, parse func(Value) (V, error), format func(V) string) attribute[T] {
	return attribute[T]{
		name: name,
		set: func(object *T, values []Value) error {
			value, err := parse(values[0])
			if err == nil {
				*field(object) = value
			}
			return err
		},
		get: func(object *T) string { return format(*field(object)) },
	}
}

// idList returns an attribute that takes one or more IDs.
func idList[T any, V ~string](name string, field func(*T) *[]V) attribute[T] {
	return attribute[T]{
		name: name,
		list: true,
		set: func(object *T, values []Value) error {
			ids := make([]V, len(values))
			for i, value := range values {
				var err error
				if ids[i], err = parseName[V](value); err != nil {
					return err
				}
			}
			*field(object) = ids
			return nil
		},
		get: func(object *T) string { return joinIDs(*field(object)) },
	}
}

// required returns the attribute marked as required for new objects.
func required[T any](a attribute[T]) attribute[T] {
	a.required = true
	return a
}

// parseName checks the name of an object. Names become parts of storage keys and paths,
// so they must not contain spaces or slashes.
func parseName[V ~string](value Value) (V, error) {
	if strings.ContainsAny(value.Text, " \t\r\n/") {
		return "", expectedError(value, "a name without spaces and slashes")
	}
	return V(value.Text), nil
}

func formatName[V ~string](value V) string { return string(value) }

func formatCount(count int) string { return fmt.Sprint(count) }

func formatDuration(d vrid.Duration) string { return d.String() }

var _modelAttributes = []attribute[vrconfig.Model]{
	required(scalar("memory", func(m *vrconfig.Model) *vrid.Bytes { return &m.Memory }, parseBytes, formatBytes)),
	required(scalar("load", func(m *vrconfig.Model) *vrid.Duration { return &m.LoadTime }, parseDuration, formatDuration)),
	required(scalar("replicas", func(m *vrconfig.Model) *int { return &m.ReplicasPerZone }, parseCount, formatCount)),
	required(scalar("kind", func(m *vrconfig.Model) *vrid.KindID { return &m.Kind }, parseName[vrid.KindID], formatName[vrid.KindID])),
	required(scalar("pool", func(m *vrconfig.Model) *vrid.PoolID { return &m.Pool }, parseName[vrid.PoolID], formatName[vrid.PoolID])),
	idList("zones", func(m *vrconfig.Model) *[]vrid.ZoneID { return &m.Zones }),
}

var _adapterAttributes = []attribute[vrconfig.Adapter]{
	required(scalar("base", func(a *vrconfig.Adapter) *vrid.ModelID { return &a.Base }, parseName[vrid.ModelID], formatName[vrid.ModelID])),
	required(scalar("memory", func(a *vrconfig.Adapter) *vrid.Bytes { return &a.Memory }, parseBytes, formatBytes)),
	scalar("kind", func(a *vrconfig.Adapter) *vrid.KindID { return &a.Kind }, parseName[vrid.KindID], formatName[vrid.KindID]),
}

var _kindAttributes = []attribute[vrconfig.Kind]{
	required(scalar("rank", func(k *vrconfig.Kind) *vrid.Rank { return &k.Rank }, parseRank, vrid.Rank.String)),
	scalar("deadline", func(k *vrconfig.Kind) *vrid.Duration { return &k.Deadline }, parseDuration, formatDuration),
}

var _poolAttributes = []attribute[vrconfig.Pool]{
	required(scalar("servers", func(p *vrconfig.Pool) *vrconfig.ServerKind { return &p.Kind }, parseName[vrconfig.ServerKind], formatName[vrconfig.ServerKind])),
	scalar("memory", func(p *vrconfig.Pool) *vrid.Bytes { return &p.Memory }, parseBytes, formatBytes),
	scalar("accelerators", func(p *vrconfig.Pool) *int { return &p.Accelerators }, parseCount, formatCount),
	required(scalar("slots", func(p *vrconfig.Pool) *int { return &p.Slots }, parseCount, formatCount)),
	scalar("honorsFencing", func(p *vrconfig.Pool) *bool { return &p.HonorsFencing }, parseBool, formatBool),
	scalar("checksIssuer", func(p *vrconfig.Pool) *bool { return &p.ChecksIssuer }, parseBool, formatBool),
}

var _callerAttributes = []attribute[vrconfig.Caller]{
	required(scalar("tokenHash", func(c *vrconfig.Caller) *string { return &c.TokenHash }, parseName[string], formatName[string])),
}

var _regionAttributes = []attribute[vrconfig.Region]{
	required(idList("zones", func(r *vrconfig.Region) *[]vrid.ZoneID { return &r.Zones })),
}

var _rankAttributes = []attribute[vrconfig.RankPolicy]{
	scalar("target", func(r *vrconfig.RankPolicy) *vrid.Duration { return &r.Target }, parseDuration, formatDuration),
	scalar("deadline", func(r *vrconfig.RankPolicy) *vrid.Duration { return &r.Deadline }, parseDuration, formatDuration),
	scalar("worth", func(r *vrconfig.RankPolicy) *float64 { return &r.Weight }, parseNumber, formatNumber),
	scalar("floor", func(r *vrconfig.RankPolicy) *float64 { return &r.Floor }, parseNumber, formatNumber),
	scalar("objective", func(r *vrconfig.RankPolicy) *float64 { return &r.Objective }, parseNumber, formatNumber),
	scalar("callerShare", func(r *vrconfig.RankPolicy) *float64 { return &r.CallerShare }, parseNumber, formatNumber),
}

var _weightStoreAttributes = []attribute[vrconfig.WeightStore]{
	scalar("slots", func(w *vrconfig.WeightStore) *int { return &w.Slots }, parseCount, formatCount),
	scalar("adapterSlots", func(w *vrconfig.WeightStore) *int { return &w.AdapterSlots }, parseCount, formatCount),
}

var _recordAttributes = []attribute[vrconfig.Record]{
	scalar("retention", func(r *vrconfig.Record) *vrid.Duration { return &r.Retention }, parseDuration, formatDuration),
}

var _claimsAttributes = []attribute[vrconfig.Claims]{
	scalar("retention", func(c *vrconfig.Claims) *vrid.Duration { return &c.Retention }, parseDuration, formatDuration),
}

var _budgetAttributes = []attribute[vrconfig.CrossRegion]{
	scalar("bytesPerHour", func(c *vrconfig.CrossRegion) *vrid.Bytes { return &c.BytesPerHour }, parseBytes, formatBytes),
	scalar("overdraft", func(c *vrconfig.CrossRegion) *float64 { return &c.UrgentOverdraft }, parseNumber, formatNumber),
}

// setAttributes applies assignments to an object. A new object must have all required
// attributes.
func setAttributes[T any](object *T, schema []attribute[T], assignments []*Attribute, name Value, isNew bool) error {
	seen := make(map[string]bool)
	for _, assignment := range assignments {
		attr := findAttribute(schema, assignment.Name.Text)
		if attr == nil {
			return expectedError(assignment.Name, "%s", attributeNames(schema))
		}
		if seen[assignment.Name.Text] {
			return expectedError(assignment.Name, "each attribute once")
		}
		seen[assignment.Name.Text] = true
		if len(assignment.Values) > 1 && !attr.list {
			return expectedError(assignment.Values[1], "one value for %s", attr.name)
		}
		if err := attr.set(object, assignment.Values); err != nil {
			return err
		}
	}
	for _, candidate := range schema {
		if isNew && candidate.required && !seen[candidate.name] {
			return expectedError(name, "a name that is declared already, or the attribute %s for a new one", candidate.name)
		}
	}
	return nil
}

func findAttribute[T any](schema []attribute[T], name string) *attribute[T] {
	for i := range schema {
		if schema[i].name == name {
			return &schema[i]
		}
	}
	return nil
}

func attributeNames[T any](schema []attribute[T]) string {
	names := make([]string, len(schema))
	for i, attr := range schema {
		names[i] = attr.name
	}
	return strings.Join(names, ", ")
}

// diffAttributes returns the attributes that differ between two versions of an object.
// A nil version stands for an object that doesn't exist.
func diffAttributes[T any](path string, schema []attribute[T], before, after *T) []Change {
	var changes []Change
	for _, attr := range schema {
		change := Change{Path: path + " " + attr.name}
		if before != nil {
			change.Before = attr.get(before)
		}
		if after != nil {
			change.After = attr.get(after)
		}
		if change.Before != change.After {
			changes = append(changes, change)
		}
	}
	return changes
}

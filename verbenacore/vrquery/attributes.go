package vrquery

import (
	"fmt"
	"strings"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// attribute is one settable field of a declared thing.
type attribute[T any] struct {
	name     string
	required bool
	list     bool
	set      func(*T, []Value) error
	get      func(*T) string
}

// single makes an attribute that takes one value.
func single[T, V any](name string, field func(*T) *V, read func(Value) (V, error), show func(V) string) attribute[T] {
	return attribute[T]{
		name: name,
		set: func(thing *T, values []Value) error {
			value, err := read(values[0])
			if err == nil {
				*field(thing) = value
			}
			return err
		},
		get: func(thing *T) string { return show(*field(thing)) },
	}
}

// idList makes an attribute that takes one name or more.
func idList[T any, V ~string](name string, field func(*T) *[]V) attribute[T] {
	return attribute[T]{
		name: name,
		list: true,
		set: func(thing *T, values []Value) error {
			ids := make([]V, len(values))
			for i, value := range values {
				var err error
				if ids[i], err = nameOf[V](value); err != nil {
					return err
				}
			}
			*field(thing) = ids
			return nil
		},
		get: func(thing *T) string { return joinIDs(*field(thing)) },
	}
}

func need[T any](a attribute[T]) attribute[T] {
	a.required = true
	return a
}

// nameOf reads the name of a thing. Names become parts of keys and paths.
func nameOf[V ~string](value Value) (V, error) {
	if strings.ContainsAny(value.Text, " \t\r\n/") {
		return "", expect(value, "a name without spaces and slashes")
	}
	return V(value.Text), nil
}

func showName[V ~string](value V) string { return string(value) }

func showCount(count int) string { return fmt.Sprint(count) }

func showDuration(d vrid.Duration) string { return d.String() }

var _modelAttributes = []attribute[vrconfig.Model]{
	need(single("memory", func(m *vrconfig.Model) *vrid.Bytes { return &m.Memory }, bytesOf, formatBytes)),
	need(single("load", func(m *vrconfig.Model) *vrid.Duration { return &m.LoadTime }, durationOf, showDuration)),
	need(single("replicas", func(m *vrconfig.Model) *int { return &m.ReplicasPerZone }, countOf, showCount)),
	need(single("kind", func(m *vrconfig.Model) *vrid.KindID { return &m.Kind }, nameOf[vrid.KindID], showName[vrid.KindID])),
	need(single("pool", func(m *vrconfig.Model) *vrid.PoolID { return &m.Pool }, nameOf[vrid.PoolID], showName[vrid.PoolID])),
	idList("zones", func(m *vrconfig.Model) *[]vrid.ZoneID { return &m.Zones }),
}

var _adapterAttributes = []attribute[vrconfig.Adapter]{
	need(single("base", func(a *vrconfig.Adapter) *vrid.ModelID { return &a.Base }, nameOf[vrid.ModelID], showName[vrid.ModelID])),
	need(single("memory", func(a *vrconfig.Adapter) *vrid.Bytes { return &a.Memory }, bytesOf, formatBytes)),
	single("kind", func(a *vrconfig.Adapter) *vrid.KindID { return &a.Kind }, nameOf[vrid.KindID], showName[vrid.KindID]),
}

var _kindAttributes = []attribute[vrconfig.Kind]{
	need(single("rank", func(k *vrconfig.Kind) *vrid.Rank { return &k.Rank }, rankOf, vrid.Rank.String)),
	single("deadline", func(k *vrconfig.Kind) *vrid.Duration { return &k.Deadline }, durationOf, showDuration),
}

var _poolAttributes = []attribute[vrconfig.Pool]{
	need(single("servers", func(p *vrconfig.Pool) *vrconfig.ServerKind { return &p.Kind }, nameOf[vrconfig.ServerKind], showName[vrconfig.ServerKind])),
	single("memory", func(p *vrconfig.Pool) *vrid.Bytes { return &p.Memory }, bytesOf, formatBytes),
	single("accelerators", func(p *vrconfig.Pool) *int { return &p.Accelerators }, countOf, showCount),
	need(single("slots", func(p *vrconfig.Pool) *int { return &p.Slots }, countOf, showCount)),
	single("honorsFencing", func(p *vrconfig.Pool) *bool { return &p.HonorsFencing }, truthOf, yesNo),
	single("checksIssuer", func(p *vrconfig.Pool) *bool { return &p.ChecksIssuer }, truthOf, yesNo),
}

var _callerAttributes = []attribute[vrconfig.Caller]{
	need(single("tokenHash", func(c *vrconfig.Caller) *string { return &c.TokenHash }, nameOf[string], showName[string])),
}

var _regionAttributes = []attribute[vrconfig.Region]{
	need(idList("zones", func(r *vrconfig.Region) *[]vrid.ZoneID { return &r.Zones })),
}

var _rankAttributes = []attribute[vrconfig.RankPolicy]{
	single("target", func(r *vrconfig.RankPolicy) *vrid.Duration { return &r.Target }, durationOf, showDuration),
	single("deadline", func(r *vrconfig.RankPolicy) *vrid.Duration { return &r.Deadline }, durationOf, showDuration),
	single("worth", func(r *vrconfig.RankPolicy) *float64 { return &r.Worth }, numberOf, formatNumber),
	single("floor", func(r *vrconfig.RankPolicy) *float64 { return &r.Floor }, numberOf, formatNumber),
	single("objective", func(r *vrconfig.RankPolicy) *float64 { return &r.Objective }, numberOf, formatNumber),
	single("callerShare", func(r *vrconfig.RankPolicy) *float64 { return &r.CallerShare }, numberOf, formatNumber),
}

var _storeAttributes = []attribute[vrconfig.WeightStore]{
	single("slots", func(w *vrconfig.WeightStore) *int { return &w.Slots }, countOf, showCount),
	single("adapterSlots", func(w *vrconfig.WeightStore) *int { return &w.AdapterSlots }, countOf, showCount),
}

var _recordAttributes = []attribute[vrconfig.Record]{
	single("retention", func(r *vrconfig.Record) *vrid.Duration { return &r.Retention }, durationOf, showDuration),
}

var _claimsAttributes = []attribute[vrconfig.Claims]{
	single("retention", func(c *vrconfig.Claims) *vrid.Duration { return &c.Retention }, durationOf, showDuration),
}

var _budgetAttributes = []attribute[vrconfig.CrossRegion]{
	single("bytesPerHour", func(c *vrconfig.CrossRegion) *vrid.Bytes { return &c.BytesPerHour }, bytesOf, formatBytes),
	single("overdraft", func(c *vrconfig.CrossRegion) *float64 { return &c.UrgentOverdraft }, numberOf, formatNumber),
}

// setAttributes applies the written attributes to a thing. A new thing needs every
// required one.
func setAttributes[T any](thing *T, known []attribute[T], written []*Attribute, name Value, isNew bool) error {
	seen := make(map[string]bool)
	for _, one := range written {
		target := findAttribute(known, one.Name.Text)
		if target == nil {
			return expect(one.Name, "%s", attributeNames(known))
		}
		if seen[one.Name.Text] {
			return expect(one.Name, "each attribute once")
		}
		seen[one.Name.Text] = true
		if len(one.Values) > 1 && !target.list {
			return expect(one.Values[1], "one value for %s", target.name)
		}
		if err := target.set(thing, one.Values); err != nil {
			return err
		}
	}
	for _, candidate := range known {
		if isNew && candidate.required && !seen[candidate.name] {
			return expect(name, "a name that is declared already, or the attribute %s for a new one", candidate.name)
		}
	}
	return nil
}

func findAttribute[T any](known []attribute[T], name string) *attribute[T] {
	for i := range known {
		if known[i].name == name {
			return &known[i]
		}
	}
	return nil
}

func attributeNames[T any](known []attribute[T]) string {
	names := make([]string, len(known))
	for i, candidate := range known {
		names[i] = candidate.name
	}
	return strings.Join(names, ", ")
}

// differences lists the attributes in which two states of a thing differ.
func differences[T any](path string, known []attribute[T], before, after *T) []Change {
	var changes []Change
	for _, candidate := range known {
		change := Change{Path: path + " " + candidate.name}
		if before != nil {
			change.Before = candidate.get(before)
		}
		if after != nil {
			change.After = candidate.get(after)
		}
		if change.Before != change.After {
			changes = append(changes, change)
		}
	}
	return changes
}

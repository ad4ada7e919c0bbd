package vrquery

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// entryRow is a record entry and the service levels that its columns are computed from.
type entryRow struct {
	*vrrecord.Entry
	levels *serviceLevels
}

type entryColumn = column[entryRow]

func entryTextColumn[V ~string](name string, get func(*entryRow) V) entryColumn {
	return entryColumn{name: name, kind: KindText, get: func(e *entryRow) Cell { return textCell(get(e)) }}
}

func entryBoolColumn(name string, get func(*entryRow) bool) entryColumn {
	return entryColumn{name: name, kind: KindText, allowed: []string{Yes, No}, get: func(e *entryRow) Cell { return boolCell(get(e)) }}
}

func entryNumberColumn[V ~int | ~int64 | ~uint32 | ~uint64](name string, get func(*entryRow) V) entryColumn {
	return entryColumn{name: name, kind: KindNumber, get: func(e *entryRow) Cell { return numberCell(get(e)) }}
}

func entryDurationColumn(name string, get func(*entryRow) int64) entryColumn {
	return entryColumn{name: name, kind: KindDuration, get: func(e *entryRow) Cell { return microsCell(get(e)) }}
}

func withAllowedValues(c entryColumn, allowed ...string) entryColumn {
	c.allowed = allowed
	return c
}

func rankNames() []string {
	var names []string
	for _, rank := range vrid.Ranks() {
		names = append(names, rank.String())
	}
	return names
}

func reasonNames() []string {
	var names []string
	for _, reason := range vrwire.Reasons() {
		names = append(names, string(reason))
	}
	return names
}

var _entryColumns = []entryColumn{
	{name: "time", kind: KindTime, get: func(e *entryRow) Cell { return millisCell(e.At) }},
	entryTextColumn("request", func(e *entryRow) vrid.RequestID { return e.Request }),
	withAllowedValues(entryTextColumn("outcome", func(e *entryRow) string { return e.Kind.String() }), "answered", "refused", "gap", "command", "load", "unload", "takeover"),
	withAllowedValues(entryTextColumn("rank", func(e *entryRow) string { return e.Rank.String() }), rankNames()...),
	entryTextColumn("caller", func(e *entryRow) vrid.CallerID { return e.Caller }),
	entryTextColumn("kind", func(e *entryRow) vrid.KindID { return e.KindID }),
	entryTextColumn("model", func(e *entryRow) vrid.ModelID { return e.Model }),
	entryTextColumn("adapter", func(e *entryRow) vrid.AdapterID { return e.Adapter }),
	entryTextColumn("service", func(e *entryRow) vrid.ServiceID { return e.Service }),
	entryTextColumn("key", func(e *entryRow) vrid.IdempotencyKey { return e.Key }),
	withAllowedValues(entryTextColumn("reason", func(e *entryRow) string { return e.Reason }), reasonNames()...),
	withAllowedValues(entryTextColumn("ran", func(e *entryRow) string { return e.Ran.String() }), "no", "unknown", "yes"),
	entryNumberColumn("status", func(e *entryRow) uint32 { return e.Status }),
	entryTextColumn("zone", func(e *entryRow) vrid.ZoneID { return e.Zone }),
	entryTextColumn("server", func(e *entryRow) vrid.ServerID { return e.Server }),
	entryTextColumn("serverZone", func(e *entryRow) vrid.ZoneID { return e.ServerZone }),
	entryNumberColumn("attempts", func(e *entryRow) uint32 { return e.Attempts }),
	entryBoolColumn("refused", func(e *entryRow) bool { return e.Kind == vrrecord.EntryRefused }),
	entryBoolColumn("bad", func(e *entryRow) bool { return e.levels.isBad(e.Entry) }),
	entryBoolColumn("cold", func(e *entryRow) bool { return e.Cold }),
	entryNumberColumn("tokens", func(e *entryRow) uint32 { return e.Tokens }),
	entryDurationColumn("queued", func(e *entryRow) int64 { return e.Queued }),
	entryDurationColumn("firstToken", func(e *entryRow) int64 { return e.FirstToken }),
	entryDurationColumn("total", func(e *entryRow) int64 { return e.Total }),
	entryNumberColumn("config", func(e *entryRow) vrid.ConfigVersion { return e.Config }),
	entryNumberColumn("fromConfig", func(e *entryRow) vrid.ConfigVersion { return e.FromConfig }),
	entryTextColumn("order", func(e *entryRow) vrid.OrderID { return e.Order }),
	entryNumberColumn("epoch", func(e *entryRow) vrid.Epoch { return e.Epoch }),
	entryTextColumn("text", func(e *entryRow) string { return e.Text }),
	entryTextColumn("operator", func(e *entryRow) string { return e.Operator }),
	entryTextColumn("daemon", func(e *entryRow) vrid.DaemonID { return e.Daemon }),
	entryTextColumn("boot", func(e *entryRow) vrid.BootID { return e.Boot }),
	entryNumberColumn("number", func(e *entryRow) uint64 { return e.Number }),
	entryNumberColumn("gapFirst", func(e *entryRow) uint64 { return e.GapFirst }),
	entryNumberColumn("gapLast", func(e *entryRow) uint64 { return e.GapLast }),
}

// entryTable returns a table of the record entries for which keep returns true.
func entryTable(keep func(*vrrecord.Entry) bool, lookback time.Duration, defaultColumns ...string) *table[entryRow] {
	return &table[entryRow]{
		columns:           _entryColumns,
		defaultColumns:    defaultColumns,
		sumColumns:        []string{"refused", "bad", "cold", "tokens"},
		percentileColumns: []string{"firstToken", "total"},
		order:             "time",
		orderDesc:         true,
		defaultLookback:   lookback,
		rows: func(e *execution, yield func(*entryRow) bool) error {
			row := entryRow{levels: newServiceLevels(e.state)}
			return e.source.Entries(e.timeRange, func(entry *vrrecord.Entry) bool {
				if !keep(entry) {
					return true
				}
				row.Entry = entry
				return yield(&row)
			})
		},
	}
}

func hasKind(kinds ...vrrecord.EntryKind) func(*vrrecord.Entry) bool {
	return func(entry *vrrecord.Entry) bool {
		for _, kind := range kinds {
			if entry.Kind == kind {
				return true
			}
		}
		return false
	}
}

const (
	day = 24 * time.Hour
	// rareLookback is the default lookback for commands and gaps. They are rare, so a
	// query without since reads further back.
	rareLookback = 7 * day
)

// withoutAggregates removes the sums and percentiles of grouped queries from the table and
// returns it.
func withoutAggregates(t *table[entryRow]) *table[entryRow] {
	t.sumColumns, t.percentileColumns = nil, nil
	return t
}

var _targets = map[string]queryTarget{
	"requests": entryTable(hasKind(vrrecord.EntryAnswered, vrrecord.EntryRefused), defaultLookback,
		"time", "rank", "model", "service", "outcome", "reason", "ran", "firstToken", "total", "cold", "server", "request"),
	"refused": entryTable(hasKind(vrrecord.EntryRefused), defaultLookback,
		"time", "rank", "model", "service", "caller", "reason", "ran", "queued", "request"),
	"loads": withoutAggregates(entryTable(hasKind(vrrecord.EntryLoad, vrrecord.EntryUnload, vrrecord.EntryTakeover), defaultLookback,
		"time", "outcome", "zone", "server", "model", "adapter", "total", "epoch", "text")),
	"history": withoutAggregates(entryTable(hasKind(vrrecord.EntryCommand), rareLookback,
		"time", "operator", "fromConfig", "config", "text")),
	"gaps": withoutAggregates(entryTable(hasKind(vrrecord.EntryGap), rareLookback,
		"time", "zone", "daemon", "boot", "gapFirst", "gapLast")),
	"burn":     _burnTarget,
	"idle":     _idleTable,
	"replicas": _replicaTable,
	"servers":  _serverTable,
	"daemons":  _daemonTable,
	"zones":    _zoneTable,
	"models":   _modelTable,
	"ranks":    _rankTable,
}

// findTarget returns the table with the given name, or nil.
func findTarget(name string) queryTarget {
	found, ok := _targets[name]
	if !ok {
		return nil
	}
	return found
}

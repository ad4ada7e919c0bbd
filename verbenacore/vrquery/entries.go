package vrquery

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// entryRow is an entry with what its columns need of the configuration.
type entryRow struct {
	*vrrecord.Entry
	levels *levels
}

type entryColumn = column[entryRow]

func entryTexts[V ~string](name string, get func(*entryRow) V) entryColumn {
	return entryColumn{name: name, kind: KindText, get: func(e *entryRow) Cell { return textCell(get(e)) }}
}

func entryTruths(name string, get func(*entryRow) bool) entryColumn {
	return entryColumn{name: name, kind: KindText, allowed: []string{Yes, No}, get: func(e *entryRow) Cell { return truthCell(get(e)) }}
}

func entryNumbers[V ~int | ~int64 | ~uint32 | ~uint64](name string, get func(*entryRow) V) entryColumn {
	return entryColumn{name: name, kind: KindNumber, get: func(e *entryRow) Cell { return numberCell(get(e)) }}
}

func entryTimes(name string, get func(*entryRow) int64) entryColumn {
	return entryColumn{name: name, kind: KindDuration, get: func(e *entryRow) Cell { return microsCell(get(e)) }}
}

func withAllowed(c entryColumn, allowed ...string) entryColumn {
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
	entryTexts("request", func(e *entryRow) vrid.RequestID { return e.Request }),
	withAllowed(entryTexts("outcome", func(e *entryRow) string { return e.Kind.String() }), "answered", "refused", "gap", "command", "load", "unload", "takeover"),
	withAllowed(entryTexts("rank", func(e *entryRow) string { return e.Rank.String() }), rankNames()...),
	entryTexts("caller", func(e *entryRow) vrid.CallerID { return e.Caller }),
	entryTexts("kind", func(e *entryRow) vrid.KindID { return e.KindID }),
	entryTexts("model", func(e *entryRow) vrid.ModelID { return e.Model }),
	entryTexts("adapter", func(e *entryRow) vrid.AdapterID { return e.Adapter }),
	entryTexts("service", func(e *entryRow) vrid.ServiceID { return e.Service }),
	entryTexts("key", func(e *entryRow) vrid.IdempotencyKey { return e.Key }),
	withAllowed(entryTexts("reason", func(e *entryRow) string { return e.Reason }), reasonNames()...),
	withAllowed(entryTexts("ran", func(e *entryRow) string { return e.Ran.String() }), "no", "unknown", "yes"),
	entryNumbers("status", func(e *entryRow) uint32 { return e.Status }),
	entryTexts("zone", func(e *entryRow) vrid.ZoneID { return e.Zone }),
	entryTexts("server", func(e *entryRow) vrid.ServerID { return e.Server }),
	entryTexts("serverZone", func(e *entryRow) vrid.ZoneID { return e.ServerZone }),
	entryNumbers("attempts", func(e *entryRow) uint32 { return e.Attempts }),
	entryTruths("refused", func(e *entryRow) bool { return e.Kind == vrrecord.EntryRefused }),
	entryTruths("bad", func(e *entryRow) bool { return e.levels.bad(e.Entry) }),
	entryTruths("cold", func(e *entryRow) bool { return e.Cold }),
	entryNumbers("tokens", func(e *entryRow) uint32 { return e.Tokens }),
	entryTimes("queued", func(e *entryRow) int64 { return e.Queued }),
	entryTimes("firstToken", func(e *entryRow) int64 { return e.FirstToken }),
	entryTimes("total", func(e *entryRow) int64 { return e.Total }),
	entryNumbers("config", func(e *entryRow) vrid.ConfigVersion { return e.Config }),
	entryNumbers("fromConfig", func(e *entryRow) vrid.ConfigVersion { return e.FromConfig }),
	entryTexts("order", func(e *entryRow) vrid.OrderID { return e.Order }),
	entryNumbers("epoch", func(e *entryRow) vrid.Epoch { return e.Epoch }),
	entryTexts("text", func(e *entryRow) string { return e.Text }),
	entryTexts("operator", func(e *entryRow) string { return e.Operator }),
	entryTexts("daemon", func(e *entryRow) vrid.DaemonID { return e.Daemon }),
	entryTexts("boot", func(e *entryRow) vrid.BootID { return e.Boot }),
	entryNumbers("number", func(e *entryRow) uint64 { return e.Number }),
	entryNumbers("gapFirst", func(e *entryRow) uint64 { return e.GapFirst }),
	entryNumbers("gapLast", func(e *entryRow) uint64 { return e.GapLast }),
}

// entryTable is a table over the entries that keep returns true for.
func entryTable(keep func(*vrrecord.Entry) bool, back time.Duration, standard ...string) *table[entryRow] {
	return &table[entryRow]{
		columns:  _entryColumns,
		standard: standard,
		sums:     []string{"refused", "bad", "cold", "tokens"},
		spreads:  []string{"firstToken", "total"},
		order:    "time",
		desc:     true,
		back:     back,
		rows: func(r *runner, yield func(*entryRow) bool) error {
			row := entryRow{levels: newLevels(r.state)}
			return r.source.Entries(r.within, func(entry *vrrecord.Entry) bool {
				if !keep(entry) {
					return true
				}
				row.Entry = entry
				return yield(&row)
			})
		},
	}
}

func isKind(kinds ...vrrecord.EntryKind) func(*vrrecord.Entry) bool {
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
	// Commands and gaps are rare, so a query without since goes back further.
	rareLookback = 7 * day
)

func withoutMeasures(t *table[entryRow]) *table[entryRow] {
	t.sums, t.spreads = nil, nil
	return t
}

var _targets = map[string]target{
	"requests": entryTable(isKind(vrrecord.EntryAnswered, vrrecord.EntryRefused), defaultSince,
		"time", "rank", "model", "service", "outcome", "reason", "ran", "firstToken", "total", "cold", "server", "request"),
	"refused": entryTable(isKind(vrrecord.EntryRefused), defaultSince,
		"time", "rank", "model", "service", "caller", "reason", "ran", "queued", "request"),
	"loads": withoutMeasures(entryTable(isKind(vrrecord.EntryLoad, vrrecord.EntryUnload, vrrecord.EntryTakeover), defaultSince,
		"time", "outcome", "zone", "server", "model", "adapter", "total", "epoch", "text")),
	"history": withoutMeasures(entryTable(isKind(vrrecord.EntryCommand), rareLookback,
		"time", "operator", "fromConfig", "config", "text")),
	"gaps": withoutMeasures(entryTable(isKind(vrrecord.EntryGap), rareLookback,
		"time", "zone", "daemon", "boot", "gapFirst", "gapLast")),
	"burn":     _burn,
	"idle":     _idleTable,
	"replicas": _replicaTable,
	"servers":  _serverTable,
	"daemons":  _daemonTable,
	"zones":    _zoneTable,
	"models":   _modelTable,
	"ranks":    _rankTable,
}

func targetOf(name string) target {
	found, ok := _targets[name]
	if !ok {
		return nil
	}
	return found
}

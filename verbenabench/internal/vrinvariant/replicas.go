package vrinvariant

import (
	"fmt"

	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

// memoryState replays the journal to track which models and adapters each server holds in
// memory.
type memoryState struct {
	index *vrconfig.Index
	// resident holds the models and adapters that are loaded or loading, with their sizes.
	resident map[vrid.ServerID]map[artifact]vrid.Bytes
	used     map[vrid.ServerID]vrid.Bytes
	// replicas counts the replicas of a model in a zone.
	replicas map[zoneModel]int
	zones    map[vrid.ServerID]vrid.ZoneID
}

// artifact is an adapter of a model, or the model itself if adapter is empty.
type artifact struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

type zoneModel struct {
	zone  vrid.ZoneID
	model vrid.ModelID
}

func newMemoryState(e *Evidence) *memoryState {
	return &memoryState{
		index:    vrconfig.NewIndex(e.Fleet),
		zones:    e.Servers,
		resident: make(map[vrid.ServerID]map[artifact]vrid.Bytes),
		used:     make(map[vrid.ServerID]vrid.Bytes),
		replicas: make(map[zoneModel]int),
	}
}

// apply replays one journal entry and reports whether it changed what a server holds.
func (m *memoryState) apply(entry vrstandin.Entry) bool {
	switch entry.Kind {
	case vrstandin.JournalLoadStarted:
		m.add(entry)
	case vrstandin.JournalUnloaded:
		m.remove(entry)
	case vrstandin.JournalBoot, vrstandin.JournalGone:
		m.clear(entry.Server)
	default:
		return false
	}
	return true
}

func (m *memoryState) add(entry vrstandin.Entry) {
	if m.resident[entry.Server] == nil {
		m.resident[entry.Server] = make(map[artifact]vrid.Bytes)
	}
	size := entry.Bytes
	if adapter := m.index.Adapter(entry.Adapter); adapter != nil {
		size = adapter.Memory
	} else if model := m.index.Model(entry.Model); model != nil {
		size = model.Memory
	}
	m.resident[entry.Server][artifact{entry.Model, entry.Adapter}] = size
	m.used[entry.Server] += size
	if entry.Adapter == "" {
		m.replicas[zoneModel{m.zones[entry.Server], entry.Model}]++
	}
}

// remove drops an adapter, or a model together with its adapters.
func (m *memoryState) remove(entry vrstandin.Entry) {
	for key, size := range m.resident[entry.Server] {
		if key.model != entry.Model || (entry.Adapter != "" && key.adapter != entry.Adapter) {
			continue
		}
		delete(m.resident[entry.Server], key)
		m.used[entry.Server] -= size
		if key.adapter == "" {
			m.replicas[zoneModel{m.zones[entry.Server], key.model}]--
		}
	}
}

func (m *memoryState) clear(server vrid.ServerID) {
	for key := range m.resident[server] {
		if key.adapter == "" {
			m.replicas[zoneModel{m.zones[server], key.model}]--
		}
	}
	delete(m.resident, server)
	delete(m.used, server)
}

// ledgerState replays the journal to track the placements that the newest write of each
// ledger object records.
type ledgerState struct {
	versions   map[string]vrid.ObjectVersion
	placements map[string]map[placement]bool
}

// placement is a model or adapter on a server.
type placement struct {
	server vrid.ServerID
	artifact
}

func newLedgerState() *ledgerState {
	return &ledgerState{
		versions:   make(map[string]vrid.ObjectVersion),
		placements: make(map[string]map[placement]bool),
	}
}

// apply replays a write of a ledger object. The journal may list two writes in the wrong
// order, so a write with an older version than the last applied one is skipped.
func (l *ledgerState) apply(entry vrstandin.Entry) error {
	if entry.Kind != vrstandin.JournalWrite || entry.Value == nil || entry.Version < l.versions[entry.Object] {
		return nil
	}
	chunk, err := vrwire.Unmarshal[vrledger.Chunk](entry.Value)
	if err != nil {
		return err
	}
	placements := make(map[placement]bool)
	for _, server := range chunk.Servers {
		for _, replica := range server.Entries {
			placements[placement{server.Server, artifact{replica.Model, replica.Adapter}}] = true
		}
	}
	l.versions[entry.Object] = entry.Version
	l.placements[entry.Object] = placements
	return nil
}

func (l *ledgerState) contains(p placement) bool {
	for _, placements := range l.placements {
		if placements[p] {
			return true
		}
	}
	return false
}

// checkReplicas checks I1: no more replicas of a model are loaded than were decided. Each
// load must be recorded in a ledger before it starts, and a zone never holds more replicas
// of a model than its ReplicasPerZone.
func checkReplicas(e *Evidence) Check {
	check := Check{Name: "I1", Rule: "no more replicas than decided"}
	memory, ledgers := newMemoryState(e), newLedgerState()
	loads, models := 0, make(map[vrid.ModelID]bool)
	for _, entry := range e.Journal {
		if err := ledgers.apply(entry); err != nil {
			check.violationf("journal %d: %s: %v", entry.Number, entry.Object, err)
		}
		if !memory.apply(entry) || entry.Kind != vrstandin.JournalLoadStarted {
			continue
		}
		if !ledgers.contains(placement{entry.Server, artifact{entry.Model, entry.Adapter}}) {
			check.violationf("journal %d: %s loads %s %s, which no ledger records for it", entry.Number, entry.Server, entry.Model, entry.Adapter)
		}
		if entry.Adapter != "" {
			continue
		}
		loads++
		models[entry.Model] = true
		model := memory.index.Model(entry.Model)
		if model == nil {
			check.violationf("journal %d: %s loads the undeclared model %s", entry.Number, entry.Server, entry.Model)
			continue
		}
		if count := memory.replicas[zoneModel{entry.Zone, entry.Model}]; count > model.ReplicasPerZone {
			check.violationf("journal %d: %d replicas of %s in %s, the limit is %d", entry.Number, count, entry.Model, entry.Zone, model.ReplicasPerZone)
		}
	}
	check.Summary = fmt.Sprintf("%d model loads of %d models checked against the ledgers", loads, len(models))
	return check
}

// checkMemory checks I2: no server's memory is overcommitted at any time.
func checkMemory(e *Evidence) Check {
	check := Check{Name: "I2", Rule: "no server's memory is overcommitted"}
	memory := newMemoryState(e)
	highest := vrid.Bytes(0)
	for _, entry := range e.Journal {
		switch entry.Kind {
		case vrstandin.JournalOvercommit:
			check.violationf("journal %d: %s was ordered to load %s%s, which does not fit in its memory", entry.Number, entry.Server, entry.Model, entry.Adapter)
		case vrstandin.JournalOverlap:
			check.violationf("journal %d: %s got an order for %s%s beside another one", entry.Number, entry.Server, entry.Model, entry.Adapter)
		default:
		}
		if memory.apply(entry) {
			highest = max(highest, memory.used[entry.Server])
		}
	}
	var limit vrid.Bytes
	for _, pool := range e.Fleet.Pools {
		limit = max(limit, pool.Memory)
	}
	if highest > limit {
		check.violationf("a server held %d bytes, the limit is %d", highest, limit)
	}
	check.Summary = fmt.Sprintf("at most %d of %d GiB on a server", highest/vrid.GiB, limit/vrid.GiB)
	return check
}

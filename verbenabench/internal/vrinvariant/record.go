package vrinvariant

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
)

// NewEvidence returns empty evidence for a run of the deployment.
func NewEvidence(deployment *vrdeploy.Deployment) Evidence {
	servers := make(map[vrid.ServerID]vrid.ZoneID, len(deployment.Servers))
	for _, server := range deployment.Servers {
		servers[server.ID] = server.Zone
	}
	return Evidence{
		Fleet:         &deployment.Fleet,
		Servers:       servers,
		ConfigVersion: deployment.Fleet.Version,
		Killed:        make(map[vrid.DaemonID]time.Time),
		Stopping:      make(map[vrid.DaemonID]time.Time),
		Paused:        make(map[vrid.DaemonID][]Pause),
	}
}

// Save writes the journal, the callers' results and the record as JSON files into a directory,
// to debug a violation.
func (e *Evidence) Save(dir string) error {
	parts := map[string]any{"journal.json": e.Journal, "views.json": e.Results, "record.json": e.Record}
	for name, part := range parts {
		data, err := json.MarshalIndent(part, "", " ")
		if err != nil {
			return fmt.Errorf("encode %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// ReadRecord decodes the blocks of the record into e.Record, without duplicates, and stores
// the result of their verification in e.Audit.
func (e *Evidence) ReadRecord(blocks []vrplatform.Item) error {
	stored := make([]vrrecord.StoredBlock, 0, len(blocks))
	type entryID struct {
		run    vrrecord.Run
		number uint64
	}
	seen := make(map[entryID]bool)
	for _, item := range blocks {
		stored = append(stored, vrrecord.StoredBlock{Key: item.Key, Data: item.Value})
		block, err := vrrecord.DecodeBlock(item.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		for i := range block.Entries {
			entry, err := block.Entry(i)
			if err != nil {
				return fmt.Errorf("%s: entry %d: %w", item.Key, i, err)
			}
			// An entry that was resent to the next writer is stored twice. A gap carries the
			// number of the first entry that may be missing. Another writer's block can contain
			// that entry, so a gap never counts as a duplicate of it.
			if entry.Kind != vrrecord.EntryGap {
				id := entryID{run: entry.Run(), number: entry.Number}
				if seen[id] {
					continue
				}
				seen[id] = true
			}
			e.Record = append(e.Record, *entry)
		}
	}
	slices.SortStableFunc(e.Record, func(a, b vrrecord.Entry) int { return int(a.At - b.At) })
	e.Audit = vrrecord.Verify(stored)
	return nil
}

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

// NewEvidence prepares the evidence of a run of a deployment.
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

// Save writes the evidence as JSON files into a directory, for a look at what broke.
func (e *Evidence) Save(dir string) error {
	parts := map[string]any{"journal.json": e.Journal, "views.json": e.Views, "record.json": e.Record}
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

// ReadRecord decodes the blocks of the record and audits them.
func (e *Evidence) ReadRecord(blocks []vrplatform.Item) error {
	stored := make([]vrrecord.StoredBlock, 0, len(blocks))
	type place struct {
		run    vrrecord.Run
		number uint64
	}
	seen := make(map[place]bool)
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
			// An entry that was sent again to the next writer stands twice. A gap has the
			// number of the first entry that it may stand for, which another writer's block
			// can hold; it stands for no entry that is there.
			if entry.Kind != vrrecord.EntryGap {
				id := place{run: entry.Run(), number: entry.Number}
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

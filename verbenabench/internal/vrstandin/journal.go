package vrstandin

import (
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// EntryKind is the kind of event that a journal entry records.
type EntryKind string

// Kinds of journal entries.
const (
	// JournalOrder is an order as it arrived, before its fencing token is checked.
	JournalOrder EntryKind = "order"
	// JournalFenced is an order refused because of a stale fencing token.
	JournalFenced EntryKind = "fenced"
	// JournalHeld is an order that a fault holds for later delivery.
	JournalHeld        EntryKind = "held"
	JournalLoadStarted EntryKind = "loadStarted"
	JournalLoaded      EntryKind = "loaded"
	// JournalLoadRepeated is a load of a model or adapter that is already loaded or
	// loading.
	JournalLoadRepeated EntryKind = "loadRepeated"
	// JournalLoadLost is a load that was lost because the engine process ended.
	JournalLoadLost EntryKind = "loadLost"
	JournalUnloaded EntryKind = "unloaded"
	// JournalOvercommit is a load refused because it does not fit in memory.
	JournalOvercommit EntryKind = "overcommitAttempt"
	// JournalOverlap is an order that runs concurrently with another one on the same
	// server, unless both are adapter loads.
	JournalOverlap EntryKind = "overlap"
	JournalBoot    EntryKind = "boot"
	JournalLeaving EntryKind = "leaving"
	JournalGone    EntryKind = "gone"
	// JournalGenerate is a request to generate as it arrived.
	JournalGenerate EntryKind = "generate"
	// JournalGenerateEnded is the end of a generation, with the number of tokens and
	// bytes written.
	JournalGenerateEnded EntryKind = "generateEnded"
	// JournalRun is a call that an application server ran.
	JournalRun EntryKind = "run"
	// JournalCallRefused is a call that an application server did not run.
	JournalCallRefused EntryKind = "callRefused"
	JournalLookup      EntryKind = "lookup"
	JournalKV          EntryKind = "kv"
	// JournalWrite is a write that took effect on the platform.
	JournalWrite EntryKind = "write"
	JournalFault EntryKind = "fault"
)

// Entry is one journal entry.
type Entry struct {
	// Number is the sequence number, from 1 without gaps.
	Number   uint64              `json:"number"`
	At       time.Time           `json:"at"`
	Kind     EntryKind           `json:"kind"`
	Server   vrid.ServerID       `json:"server,omitempty"`
	Zone     vrid.ZoneID         `json:"zone,omitempty"`
	Order    *vrengine.Order     `json:"order,omitempty"`
	Model    vrid.ModelID        `json:"model,omitempty"`
	Adapter  vrid.AdapterID      `json:"adapter,omitempty"`
	Request  vrid.RequestID      `json:"request,omitempty"`
	Key      vrid.IdempotencyKey `json:"key,omitempty"`
	Object   string              `json:"object,omitempty"`
	Version  vrid.ObjectVersion  `json:"version,omitempty"`
	Priority int                 `json:"priority,omitempty"`
	Offset   int                 `json:"offset,omitempty"`
	Tokens   int                 `json:"tokens,omitempty"`
	Bytes    vrid.Bytes          `json:"bytes,omitempty"`
	Detail   string              `json:"detail,omitempty"`
	// Value is set only for writes to ledgers, because these record the decisions that
	// loads are checked against.
	Value []byte `json:"value,omitempty"`
}

// Journal records what actually reached the back ends. It is safe for concurrent use.
// It grows without limit until the process ends, so runs have to be bounded in time.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
}

// Add appends an entry after setting its number and time.
func (j *Journal) Add(entry Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Number = uint64(len(j.entries)) + 1
	entry.At = time.Now()
	j.entries = append(j.entries, entry)
}

// After returns a copy of the entries whose number is higher than the given one.
func (j *Journal) After(number uint64) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if number >= uint64(len(j.entries)) {
		return nil
	}
	return append([]Entry(nil), j.entries[number:]...)
}

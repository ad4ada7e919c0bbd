package vrstandin

import (
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// EntryKind says what a journal entry tells.
type EntryKind string

// Kinds of journal entries.
const (
	// JournalOrder is an order as it arrived, before it is judged.
	JournalOrder EntryKind = "order"
	// JournalFenced is an order refused for its old fencing number.
	JournalFenced EntryKind = "fenced"
	// JournalHeld is an order kept back by a fault, to be delivered later.
	JournalHeld        EntryKind = "held"
	JournalLoadStarted EntryKind = "loadStarted"
	JournalLoaded      EntryKind = "loaded"
	// JournalLoadRepeated is a load of what is already loaded or loading.
	JournalLoadRepeated EntryKind = "loadRepeated"
	// JournalLoadLost is a load that ended with the engine's process.
	JournalLoadLost EntryKind = "loadLost"
	JournalUnloaded EntryKind = "unloaded"
	// JournalOvercommit is a load that does not fit the memory; it is refused.
	JournalOvercommit EntryKind = "overcommitAttempt"
	// JournalOverlap is an order that runs beside another one on the same server
	// although they are not both adapter loads.
	JournalOverlap EntryKind = "overlap"
	JournalBoot    EntryKind = "boot"
	JournalLeaving EntryKind = "leaving"
	JournalGone    EntryKind = "gone"
	// JournalGenerate is a request to generate as it arrived.
	JournalGenerate EntryKind = "generate"
	// JournalGenerateEnded carries the tokens and bytes that were written.
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

// Entry is one line of the journal.
type Entry struct {
	// Number counts the entries from 1 without gaps.
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
	// Value is set for writes of ledgers, because they are the decisions that loads
	// are compared with.
	Value []byte `json:"value,omitempty"`
}

// Journal is the truth about what reached the back ends. It is safe for concurrent
// use and grows until the process ends, so runs are bounded in time.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
}

// Add appends an entry and sets its number and time.
func (j *Journal) Add(entry Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Number = uint64(len(j.entries)) + 1
	entry.At = time.Now()
	j.entries = append(j.entries, entry)
}

// After returns a copy of the entries with higher numbers.
func (j *Journal) After(number uint64) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if number >= uint64(len(j.entries)) {
		return nil
	}
	return append([]Entry(nil), j.entries[number:]...)
}

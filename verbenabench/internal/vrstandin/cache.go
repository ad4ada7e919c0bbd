package vrstandin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// Limits of the caches of a server.
const (
	_prefixes       = 256
	_prefixTokens   = 64
	_memoryCopies   = 3
	_diskCopies     = 12
	_cacheEventLag  = 500 * time.Millisecond
	_cacheEventGap  = 16
	_cacheEventsMax = 1024
	// _diskPart is how many models in a hundred lie on a server's disk at the start.
	_diskPart = 20
)

// prefixCache remembers the prompts that were used last.
type prefixCache struct {
	mu sync.Mutex
	// order holds the keys, the least recently used first.
	order  []prefixKey
	next   uint64
	events []timedEvent
}

type prefixKey struct {
	model  vrid.ModelID
	prefix uint64
}

type timedEvent struct {
	at    time.Time
	event vrengine.CacheEvent
}

func newPrefixCache() *prefixCache { return &prefixCache{} }

// use notes a prompt and reports whether its prefix was in the cache.
func (c *prefixCache) use(model vrid.ModelID, prompt string) bool {
	key := prefixKey{model: model, prefix: Prefix(prompt)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if place := slices.Index(c.order, key); place >= 0 {
		c.order = append(slices.Delete(c.order, place, place+1), key)
		return true
	}
	c.order = append(c.order, key)
	c.note(key, false)
	if len(c.order) > _prefixes {
		c.note(c.order[0], true)
		c.order = c.order[1:]
	}
	return false
}

// note records an event; some numbers are skipped, as events get lost.
func (c *prefixCache) note(key prefixKey, evicted bool) {
	c.next++
	if c.next%_cacheEventGap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: vrengine.CacheEvent{
		Number: c.next, Model: key.model, Prefix: key.prefix, Tokens: _prefixTokens, Evicted: evicted,
	}})
	if len(c.events) > _cacheEventsMax {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events that are old enough to have arrived.
func (c *prefixCache) eventsAfter(number uint64) vrengine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := vrengine.CacheEvents{Events: []vrengine.CacheEvent{}, Next: number}
	for _, held := range c.events {
		if held.event.Number <= number || time.Since(held.at) < _cacheEventLag {
			continue
		}
		answer.Events = append(answer.Events, held.event)
		answer.Next = held.event.Number
	}
	return answer
}

// checkpoints are the copies of weights that lie near a server. It is used under the
// engine's lock.
type checkpoints struct {
	// memory and disk hold the least recently used first.
	memory []vrid.ModelID
	disk   []vrid.ModelID
}

// newCheckpoints puts some models on the disk, different ones on each server.
func newCheckpoints(server vrid.ServerID, models []vrconfig.Model) *checkpoints {
	c := &checkpoints{}
	for _, model := range models {
		if len(c.disk) == _diskCopies {
			break
		}
		if xxhash.Sum64String(string(server)+"\x00"+string(model.ID))%100 < _diskPart {
			c.disk = append(c.disk, model.ID)
		}
	}
	return c
}

// nearest returns where the weights come from, whatever the order says about copies
// that are not here.
func (c *checkpoints) nearest(model vrid.ModelID, claimed string) string {
	switch {
	case slices.Contains(c.memory, model):
		return sourceMemory
	case slices.Contains(c.disk, model):
		return sourceDisk
	case claimed == sourcePeer:
		return sourcePeer
	}
	return sourceRemote
}

// keep puts a loaded model into memory; the oldest copies move to the disk and from
// there away.
func (c *checkpoints) keep(model vrid.ModelID) {
	c.memory = touch(c.memory, model)
	if len(c.memory) <= _memoryCopies {
		return
	}
	c.disk = touch(c.disk, c.memory[0])
	c.memory = c.memory[1:]
	if len(c.disk) > _diskCopies {
		c.disk = c.disk[1:]
	}
}

func touch(list []vrid.ModelID, model vrid.ModelID) []vrid.ModelID {
	if place := slices.Index(list, model); place >= 0 {
		list = slices.Delete(list, place, place+1)
	}
	return append(list, model)
}

func (c *checkpoints) report() vrengine.CacheReport {
	return vrengine.CacheReport{Memory: slices.Clone(c.memory), Disk: slices.Clone(c.disk)}
}

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

// Limits of a language server's caches.
const (
	_maxPrefixes            = 256
	_tokensPerPrefix        = 64
	_maxMemoryCopies        = 3
	_maxDiskCopies          = 12
	_cacheEventLag          = 500 * time.Millisecond
	_cacheEventLossInterval = 16
	_maxCacheEvents         = 1024
	// _initialDiskPercent is the percentage of models on a server's disk at the start.
	_initialDiskPercent = 20
)

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	mu sync.Mutex
	// lru holds the keys, least recently used first.
	lru []prefixKey
	// lastNumber is the number of the last event, including dropped ones.
	lastNumber uint64
	events     []timedEvent
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

// use marks the prefix of a prompt as most recently used and reports whether it was
// cached.
func (c *prefixCache) use(model vrid.ModelID, prompt string) bool {
	key := prefixKey{model: model, prefix: PrefixHash(prompt)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := slices.Index(c.lru, key); index >= 0 {
		c.lru = append(slices.Delete(c.lru, index, index+1), key)
		return true
	}
	c.lru = append(c.lru, key)
	c.addEvent(key, false)
	if len(c.lru) > _maxPrefixes {
		c.addEvent(c.lru[0], true)
		c.lru = c.lru[1:]
	}
	return false
}

// addEvent records an event. Every _cacheEventLossInterval-th event is dropped and its
// number skipped, to simulate event loss.
func (c *prefixCache) addEvent(key prefixKey, evicted bool) {
	c.lastNumber++
	if c.lastNumber%_cacheEventLossInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: vrengine.CacheEvent{
		Number: c.lastNumber, Model: key.model, Prefix: key.prefix, Tokens: _tokensPerPrefix, Evicted: evicted,
	}})
	if len(c.events) > _maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with higher numbers that are at least _cacheEventLag
// old.
func (c *prefixCache) eventsAfter(number uint64) vrengine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := vrengine.CacheEvents{Events: []vrengine.CacheEvent{}, Next: number}
	for _, recorded := range c.events {
		if recorded.event.Number <= number || time.Since(recorded.at) < _cacheEventLag {
			continue
		}
		answer.Events = append(answer.Events, recorded.event)
		answer.Next = recorded.event.Number
	}
	return answer
}

// weightCopies tracks the models whose weights a server has in memory or on disk. The
// engine's lock guards it.
type weightCopies struct {
	// memory and disk are ordered least recently used first.
	memory []vrid.ModelID
	disk   []vrid.ModelID
}

// newWeightCopies returns the copies that a server starts with: a subset of the models,
// chosen by a hash of the server's and the model's id, is on its disk.
func newWeightCopies(server vrid.ServerID, models []vrconfig.Model) *weightCopies {
	c := &weightCopies{}
	for _, model := range models {
		if len(c.disk) == _maxDiskCopies {
			break
		}
		if xxhash.Sum64String(string(server)+"\x00"+string(model.ID))%100 < _initialDiskPercent {
			c.disk = append(c.disk, model.ID)
		}
	}
	return c
}

// loadSource returns where the weights are loaded from. A local copy takes precedence
// over the source that the order names, and a local source that the order names is
// ignored if the copy does not exist.
func (c *weightCopies) loadSource(model vrid.ModelID, requested string) string {
	switch {
	case slices.Contains(c.memory, model):
		return sourceMemory
	case slices.Contains(c.disk, model):
		return sourceDisk
	case requested == sourcePeer:
		return sourcePeer
	}
	return sourceRemote
}

// addLoaded adds a loaded model to memory. The least recently used copy in memory moves
// to disk, and the least recently used copy on disk is evicted.
func (c *weightCopies) addLoaded(model vrid.ModelID) {
	c.memory = moveToEnd(c.memory, model)
	if len(c.memory) <= _maxMemoryCopies {
		return
	}
	c.disk = moveToEnd(c.disk, c.memory[0])
	c.memory = c.memory[1:]
	if len(c.disk) > _maxDiskCopies {
		c.disk = c.disk[1:]
	}
}

func moveToEnd(list []vrid.ModelID, model vrid.ModelID) []vrid.ModelID {
	if index := slices.Index(list, model); index >= 0 {
		list = slices.Delete(list, index, index+1)
	}
	return append(list, model)
}

func (c *weightCopies) report() vrengine.CacheReport {
	return vrengine.CacheReport{Memory: slices.Clone(c.memory), Disk: slices.Clone(c.disk)}
}

package vrroute

import (
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// maxPrefixes is the maximum number of entries that a daemon keeps about the servers' prefix
// caches; the oldest are evicted first.
const maxPrefixes = 8192

// maxMissedEvents is how many cache events of a server may be lost before all entries of the
// server are removed. A lost eviction only makes a request go to a server that is not the
// least loaded.
const maxMissedEvents = 32

// prefixKey is the hash of the first part of a prompt for a model.
type prefixKey struct {
	model  vrid.ModelID
	prefix uint64
}

// prefixIndex records which server has the prefix of a prompt in its cache.
type prefixIndex struct {
	servers map[prefixKey]vrid.ServerID
	// ring holds the keys in the order of insertion; once it is full, oldest is the index
	// of the oldest key.
	ring   []prefixKey
	oldest int
	// lastEvents is the highest event number of each server.
	lastEvents map[vrid.ServerID]uint64
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{
		servers:    make(map[prefixKey]vrid.ServerID),
		lastEvents: make(map[vrid.ServerID]uint64),
	}
}

func (p *prefixIndex) lookup(model vrid.ModelID, prefix uint64) vrid.ServerID {
	return p.servers[prefixKey{model: model, prefix: prefix}]
}

func (p *prefixIndex) put(model vrid.ModelID, prefix uint64, server vrid.ServerID) {
	key := prefixKey{model: model, prefix: prefix}
	if _, known := p.servers[key]; known {
		p.servers[key] = server
		return
	}
	if len(p.ring) < maxPrefixes {
		p.ring = append(p.ring, key)
	} else {
		delete(p.servers, p.ring[p.oldest])
		p.ring[p.oldest] = key
		p.oldest = (p.oldest + 1) % maxPrefixes
	}
	p.servers[key] = server
}

func (p *prefixIndex) remove(key prefixKey, server vrid.ServerID) {
	if p.servers[key] == server {
		delete(p.servers, key)
	}
}

// removeServer removes the entries of a server.
func (p *prefixIndex) removeServer(server vrid.ServerID) {
	for key, holder := range p.servers {
		if holder == server {
			delete(p.servers, key)
		}
	}
}

// ApplyCacheEvents applies events about prefixes that entered or left the cache of a server.
// Events arrive late, and some may be missing.
func (t *Table) ApplyCacheEvents(server vrid.ServerID, events []vrengine.CacheEvent) {
	if t.opts.LeastLoaded {
		return
	}
	for i := range events {
		event := &events[i]
		last := t.prefixes.lastEvents[server]
		switch {
		case event.Number <= last && last-event.Number < maxMissedEvents:
			// The event was applied already.
			continue
		case event.Number <= last || event.Number-last > maxMissedEvents:
			// The server restarted, or too many evictions may be missing.
			t.prefixes.removeServer(server)
		}
		t.prefixes.lastEvents[server] = event.Number
		key := prefixKey{model: event.Model, prefix: event.Prefix}
		if event.Evicted {
			t.prefixes.remove(key, server)
			continue
		}
		t.prefixes.put(event.Model, event.Prefix, server)
	}
}

package vrroute

import (
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// prefixCount bounds what a daemon remembers of the servers' prefix caches; the oldest
// entries go first.
const prefixCount = 8192

// gapTolerance is how many cache events of a server may be lost before its entries are
// forgotten: a lost eviction only costs a choice that is not the least loaded.
const gapTolerance = 32

type prefixKey struct {
	model  vrid.ModelID
	prefix uint64
}

// prefixes remembers which server has a prompt's prefix in its cache.
type prefixes struct {
	servers map[prefixKey]vrid.ServerID
	ring    []prefixKey
	next    int
	// seen is the highest event number of each server.
	seen map[vrid.ServerID]uint64
}

func newPrefixes() prefixes {
	return prefixes{
		servers: make(map[prefixKey]vrid.ServerID),
		seen:    make(map[vrid.ServerID]uint64),
	}
}

func (p *prefixes) find(model vrid.ModelID, prefix uint64) vrid.ServerID {
	return p.servers[prefixKey{model: model, prefix: prefix}]
}

func (p *prefixes) put(model vrid.ModelID, prefix uint64, server vrid.ServerID) {
	key := prefixKey{model: model, prefix: prefix}
	if _, known := p.servers[key]; known {
		p.servers[key] = server
		return
	}
	if len(p.ring) < prefixCount {
		p.ring = append(p.ring, key)
	} else {
		delete(p.servers, p.ring[p.next])
		p.ring[p.next] = key
		p.next = (p.next + 1) % prefixCount
	}
	p.servers[key] = server
}

func (p *prefixes) drop(key prefixKey, server vrid.ServerID) {
	if p.servers[key] == server {
		delete(p.servers, key)
	}
}

// forget drops everything of a server.
func (p *prefixes) forget(server vrid.ServerID) {
	for key, holder := range p.servers {
		if holder == server {
			delete(p.servers, key)
		}
	}
}

// ApplyCacheEvents takes what entered or left a server's prefix cache. Events come late,
// and numbers may be missing.
func (t *Table) ApplyCacheEvents(server vrid.ServerID, events []vrengine.CacheEvent) {
	if t.opts.LeastLoaded {
		return
	}
	for i := range events {
		event := &events[i]
		last := t.prefixes.seen[server]
		switch {
		case event.Number <= last && last-event.Number < gapTolerance:
			// A repeated event changes nothing.
			continue
		case event.Number <= last || event.Number-last > gapTolerance:
			// The server started again, or too many evictions may be missing.
			t.prefixes.forget(server)
		}
		t.prefixes.seen[server] = event.Number
		key := prefixKey{model: event.Model, prefix: event.Prefix}
		if event.Evicted {
			t.prefixes.drop(key, server)
			continue
		}
		t.prefixes.put(event.Model, event.Prefix, server)
	}
}

package vrstandin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// store holds the platform's objects. Versions are revisions of the whole store.
type store struct {
	mu       sync.Mutex
	revision vrid.ObjectVersion
	objects  map[string]vrplatform.Item
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]vrplatform.Item), changed: make(chan struct{})}
}

// condition is the version that a write expects; unconditional writes have none.
type condition struct {
	set     bool
	version vrid.ObjectVersion
}

func (c condition) holds(current vrid.ObjectVersion) bool { return !c.set || c.version == current }

// get returns an object that exists.
func (s *store) get(key string) (vrplatform.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.objects[key]
	return item, ok && !item.Deleted
}

func (s *store) versionOf(key string) vrid.ObjectVersion {
	item, ok := s.objects[key]
	if !ok || item.Deleted {
		return 0
	}
	return item.Version
}

// put writes an object and returns its version and whether the condition held. When
// it did not, the version is the current one.
func (s *store) put(key string, value []byte, want condition) (vrid.ObjectVersion, bool) {
	return s.write(vrplatform.Item{Key: key, Value: value}, want)
}

// remove deletes an object. A deleted object stays visible to watches.
func (s *store) remove(key string, want condition) (vrid.ObjectVersion, bool) {
	return s.write(vrplatform.Item{Key: key, Deleted: true}, want)
}

func (s *store) write(item vrplatform.Item, want condition) (vrid.ObjectVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.versionOf(item.Key)
	if !want.holds(current) {
		return current, false
	}
	s.revision++
	item.Version = s.revision
	s.objects[item.Key] = item
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

// list returns the objects with a prefix in the order of their keys.
func (s *store) list(prefix string, values bool) []vrplatform.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []vrplatform.Item{}
	for key, item := range s.objects {
		if item.Deleted || !strings.HasPrefix(key, prefix) {
			continue
		}
		if !values {
			item.Value = nil
		}
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// watch waits until an object with the prefix is above the revision or the context
// ends, and returns what is there then.
func (s *store) watch(ctx context.Context, prefix string, after vrid.ObjectVersion) vrplatform.Watch {
	for {
		found, changed := s.above(prefix, after)
		if len(found.Items) > 0 {
			return found
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found
		}
	}
}

func (s *store) above(prefix string, after vrid.ObjectVersion) (vrplatform.Watch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := vrplatform.Watch{Revision: s.revision, Items: []vrplatform.Item{}}
	for key, item := range s.objects {
		if item.Version > after && strings.HasPrefix(key, prefix) {
			found.Items = append(found.Items, item)
		}
	}
	sort.Slice(found.Items, func(i, j int) bool { return found.Items[i].Version < found.Items[j].Version })
	return found, s.changed
}

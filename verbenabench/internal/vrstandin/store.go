package vrstandin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// store is the platform's object store. The version of an object is the revision of the
// whole store at which it was written.
type store struct {
	mu       sync.Mutex
	revision vrid.ObjectVersion
	objects  map[string]vrplatform.Item
	// changed is closed and replaced on each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]vrplatform.Item), changed: make(chan struct{})}
}

// condition is the precondition of a write on the current version. The zero value
// accepts any version.
type condition struct {
	conditional bool
	version     vrid.ObjectVersion
}

func (c condition) holds(current vrid.ObjectVersion) bool {
	return !c.conditional || c.version == current
}

// get returns an object and whether it exists.
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

// put writes an object and returns its new version and true. If the condition does not
// hold, it returns the current version and false.
func (s *store) put(key string, value []byte, precondition condition) (vrid.ObjectVersion, bool) {
	return s.write(vrplatform.Item{Key: key, Value: value}, precondition)
}

// delete deletes an object. Its tombstone stays visible to watches.
func (s *store) delete(key string, precondition condition) (vrid.ObjectVersion, bool) {
	return s.write(vrplatform.Item{Key: key, Deleted: true}, precondition)
}

func (s *store) write(item vrplatform.Item, precondition condition) (vrid.ObjectVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.versionOf(item.Key)
	if !precondition.holds(current) {
		return current, false
	}
	s.revision++
	item.Version = s.revision
	s.objects[item.Key] = item
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

// list returns the objects with a prefix, sorted by key.
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

// watch waits until an object with the prefix has a version higher than after or ctx
// ends, and returns the changes found by then.
func (s *store) watch(ctx context.Context, prefix string, after vrid.ObjectVersion) vrplatform.Watch {
	for {
		found, changed := s.changesAfter(prefix, after)
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

func (s *store) changesAfter(prefix string, after vrid.ObjectVersion) (vrplatform.Watch, <-chan struct{}) {
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

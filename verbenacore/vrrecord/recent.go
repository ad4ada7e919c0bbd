package vrrecord

// recent remembers the newest values in bounded memory: when a generation is full the
// one before it is forgotten.
type recent[K comparable, V any] struct {
	limit   int
	current map[K]V
	before  map[K]V
}

func newRecent[K comparable, V any](limit int) recent[K, V] {
	return recent[K, V]{limit: limit, current: make(map[K]V)}
}

func (r *recent[K, V]) put(key K, value V) {
	if len(r.current) >= r.limit {
		r.before = r.current
		r.current = make(map[K]V)
	}
	r.current[key] = value
}

func (r *recent[K, V]) get(key K) (V, bool) {
	if value, found := r.current[key]; found {
		return value, true
	}
	value, found := r.before[key]
	return value, found
}

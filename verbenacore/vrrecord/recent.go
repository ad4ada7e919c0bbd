package vrrecord

// generationCache holds the most recent values in bounded memory. It keeps two
// generations: a full current generation replaces the previous one.
type generationCache[K comparable, V any] struct {
	generationSize int
	current        map[K]V
	previous       map[K]V
}

func newGenerationCache[K comparable, V any](generationSize int) generationCache[K, V] {
	return generationCache[K, V]{generationSize: generationSize, current: make(map[K]V)}
}

func (c *generationCache[K, V]) put(key K, value V) {
	if len(c.current) >= c.generationSize {
		c.previous = c.current
		c.current = make(map[K]V)
	}
	c.current[key] = value
}

func (c *generationCache[K, V]) get(key K) (V, bool) {
	if value, found := c.current[key]; found {
		return value, true
	}
	value, found := c.previous[key]
	return value, found
}

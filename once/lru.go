package once

// lru is a map of at most max entries that evicts the least recently used one.
// It is not safe for concurrent use.
type lru[K comparable, V any] struct {
	max     int
	entries map[K]*lruEntry[K, V]
	// head is the sentinel of a ring: head.next is the most recently used entry,
	// head.prev the least recently used one.
	head lruEntry[K, V]
	// onEvict is called for each evicted entry.
	onEvict func(K, *V)
}

type lruEntry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *lruEntry[K, V]
}

func newLRU[K comparable, V any](limit int, onEvict func(K, *V)) *lru[K, V] {
	l := &lru[K, V]{max: limit, entries: make(map[K]*lruEntry[K, V]), onEvict: onEvict}
	l.head.prev, l.head.next = &l.head, &l.head
	return l
}

// get returns the value of a key and marks it as used, or nil if it is absent.
func (l *lru[K, V]) get(key K) *V {
	e, ok := l.entries[key]
	if !ok {
		return nil
	}
	if l.head.next != e {
		l.unlink(e)
		l.link(e)
	}
	return &e.value
}

// add stores an absent key, evicts as needed and returns the stored value.
func (l *lru[K, V]) add(key K, value V) *V {
	for len(l.entries) >= l.max {
		oldest := l.head.prev
		l.unlink(oldest)
		delete(l.entries, oldest.key)
		l.onEvict(oldest.key, &oldest.value)
	}
	e := &lruEntry[K, V]{key: key, value: value}
	l.entries[key] = e
	l.link(e)
	return &e.value
}

func (l *lru[K, V]) link(e *lruEntry[K, V]) {
	e.prev, e.next = &l.head, l.head.next
	e.prev.next, e.next.prev = e, e
}

func (l *lru[K, V]) unlink(e *lruEntry[K, V]) {
	e.prev.next, e.next.prev = e.next, e.prev
}

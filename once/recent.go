package once

// recent is a map of at most max rows that drops the least recently used one.
// It is not safe for concurrent use.
type recent[K comparable, V any] struct {
	max  int
	rows map[K]*row[K, V]
	// head.next is the most recently used row, head.prev the least recently
	// used one.
	head row[K, V]
	// drop is told of each row that is dropped.
	drop func(K, *V)
}

type row[K comparable, V any] struct {
	key        K
	value      V
	prev, next *row[K, V]
}

func newRecent[K comparable, V any](limit int, drop func(K, *V)) *recent[K, V] {
	r := &recent[K, V]{max: limit, rows: make(map[K]*row[K, V]), drop: drop}
	r.head.prev, r.head.next = &r.head, &r.head
	return r
}

// get returns the value of a key and marks it as used; nil where it is absent.
func (r *recent[K, V]) get(key K) *V {
	e, ok := r.rows[key]
	if !ok {
		return nil
	}
	if r.head.next != e {
		r.unlink(e)
		r.link(e)
	}
	return &e.value
}

// add stores a key that is absent and returns its value.
func (r *recent[K, V]) add(key K, value V) *V {
	for len(r.rows) >= r.max {
		last := r.head.prev
		r.unlink(last)
		delete(r.rows, last.key)
		r.drop(last.key, &last.value)
	}
	e := &row[K, V]{key: key, value: value}
	r.rows[key] = e
	r.link(e)
	return &e.value
}

func (r *recent[K, V]) link(e *row[K, V]) {
	e.prev, e.next = &r.head, r.head.next
	e.prev.next, e.next.prev = e, e
}

func (r *recent[K, V]) unlink(e *row[K, V]) {
	e.prev.next, e.next.prev = e.next, e.prev
}

package board

import "sync"

// Table is a map that is safe for concurrent use.
type Table[K comparable, V any] struct {
	mu sync.RWMutex
	// rows never holds a value that a reader may change without the lock;
	// values are copied in and out.
	rows map[K]V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]V)}
}

// Get returns the value of a key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.rows[key]
	return v, ok
}

// Put stores a value.
func (t *Table[K, V]) Put(key K, value V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key] = value
}

// Update replaces the value of a key by what f makes of it. f gets the zero
// value and false where the key is new; the key is removed where f returns false.
func (t *Table[K, V]) Update(key K, f func(old V, ok bool) (V, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.rows[key]
	v, keep := f(old, ok)
	if keep {
		t.rows[key] = v
		return
	}
	delete(t.rows, key)
}

// Delete removes a key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Len returns the number of keys.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// Range calls f for each row, in no order, until f returns false.
func (t *Table[K, V]) Range(f func(K, V) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, v := range t.rows {
		if !f(k, v) {
			return
		}
	}
}

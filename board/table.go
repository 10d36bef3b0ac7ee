package board

import "sync"

// Table is a map that is safe for concurrent use.
type Table[K comparable, V any] struct {
	mu sync.RWMutex
	// entries are copied in and out, so values must hold nothing that a reader
	// may modify without the lock.
	entries map[K]V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{entries: make(map[K]V)}
}

// Get returns the value of a key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.entries[key]
	return v, ok
}

// Put stores a value.
func (t *Table[K, V]) Put(key K, value V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = value
}

// Update replaces the value of a key by the result of f. f gets the zero value
// and false if the key is new; the key is removed if f returns false.
func (t *Table[K, V]) Update(key K, f func(old V, ok bool) (V, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.entries[key]
	v, keep := f(old, ok)
	if keep {
		t.entries[key] = v
		return
	}
	delete(t.entries, key)
}

// Delete removes a key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, key)
}

// Len returns the number of keys.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// Range calls f for each entry, in no particular order, until f returns false.
func (t *Table[K, V]) Range(f func(K, V) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, v := range t.entries {
		if !f(k, v) {
			return
		}
	}
}

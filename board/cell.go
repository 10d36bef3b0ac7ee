package board

import "sync/atomic"

// Cell holds a pointer to one value that is only replaced as a whole. The value
// must not be modified after Store, so readers get an immutable snapshot.
type Cell[T any] struct {
	value atomic.Pointer[T]
}

// Load returns the current value, nil before the first Store.
func (c *Cell[T]) Load() *T { return c.value.Load() }

// Store replaces the value.
func (c *Cell[T]) Store(v *T) { c.value.Store(v) }

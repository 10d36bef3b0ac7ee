package board

import "sync/atomic"

// Cell holds one value that is replaced as a whole. Readers get a snapshot,
// which nobody changes after Store.
type Cell[T any] struct {
	p atomic.Pointer[T]
}

// Load returns the current value, nil before the first Store.
func (c *Cell[T]) Load() *T { return c.p.Load() }

// Store replaces the value.
func (c *Cell[T]) Store(v *T) { c.p.Store(v) }

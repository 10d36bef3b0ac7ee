package jsonc

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Position is a place in a source file.
type Position struct {
	file   string
	line   int
	column int
}

// File returns the name that the document was parsed under.
func (p Position) File() string { return p.file }

// Line returns the line, from 1.
func (p Position) Line() int { return p.line }

// Column returns the column in bytes, from 1.
func (p Position) Column() int { return p.column }

// String returns "file:line:column".
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// CheckError says why a document is refused and where.
type CheckError struct {
	Position
	path   string
	reason string
}

// Path returns the JSON pointer of the refused value, "" for the whole document.
func (e *CheckError) Path() string { return e.path }

// Reason returns the cause in words.
func (e *CheckError) Reason() string { return e.reason }

func (e *CheckError) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s: %s", e.Position, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Position, e.path, e.reason)
}

// Join returns the errors as one, in the order of the source, or nil where
// there is none. errors.As finds the first of them.
func Join(found []*CheckError) error {
	sorted := slices.Clone(found)
	slices.SortStableFunc(sorted, func(a, b *CheckError) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column), cmp.Compare(a.reason, b.reason))
	})
	errs := make([]error, len(sorted))
	for i, e := range sorted {
		errs[i] = e
	}
	return errors.Join(errs...)
}

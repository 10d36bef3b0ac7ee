package jsonc

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Position is a position in a source file.
type Position struct {
	file   string
	line   int
	column int
}

// File returns the file name that was passed to Parse.
func (p Position) File() string { return p.file }

// Line returns the line, starting at 1.
func (p Position) Line() int { return p.line }

// Column returns the column in bytes, starting at 1.
func (p Position) Column() int { return p.column }

// String returns "file:line:column".
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

// CheckError reports why and at which position a document is rejected.
type CheckError struct {
	Position
	path   string
	reason string
}

// Path returns the JSON pointer of the rejected value, "" for the whole document.
func (e *CheckError) Path() string { return e.path }

// Reason returns the message without position and path.
func (e *CheckError) Reason() string { return e.reason }

func (e *CheckError) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s: %s", e.Position, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Position, e.path, e.reason)
}

// Join returns the errors as one, ordered by position, or nil if there are none.
// errors.As finds the first of them.
func Join(checkErrs []*CheckError) error {
	sorted := slices.Clone(checkErrs)
	slices.SortStableFunc(sorted, func(a, b *CheckError) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column), cmp.Compare(a.reason, b.reason))
	})
	errs := make([]error, len(sorted))
	for i, e := range sorted {
		errs[i] = e
	}
	return errors.Join(errs...)
}

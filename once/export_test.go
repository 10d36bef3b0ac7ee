package once

// Constructors with a limit, so that external tests can cause evictions of
// windows and sequences.
var (
	NewBoundedWindow    = newWindow
	NewBoundedSequencer = newSequencer
)

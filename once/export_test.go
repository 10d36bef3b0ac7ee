package once

// Constructors with small bounds, so that the tests of other packages' use see
// windows and counts being dropped.
var (
	SmallWindow    = newWindow
	SmallSequencer = newSequencer
)

package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Targets of the design page, section 1.2.
const (
	targetGoodput      = 0.9
	targetBookings     = 0.99
	targetRatio        = 0.1
	targetRecovery     = 2 * time.Second
	targetAddedLatency = 1900 * time.Microsecond
)

// missMark follows a figure that misses its target.
const missMark = " !"

// formatMarked formats a figure and marks it if it misses its target.
func formatMarked(format string, v float64, met bool) string {
	s := fmt.Sprintf(format, v)
	if !met {
		s += missMark
	}
	return s
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

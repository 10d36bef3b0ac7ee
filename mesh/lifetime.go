package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// errStopped is the cause of the end of a request that the end of a planned stop
// interrupts.
var errStopped = errors.New("the node has stopped")

// requestContext returns a context for a request. It ends with the request's own
// context, at the deadline, or with the lifetime of the node: a request that is
// interrupted by a stop gets a response.
func requestContext(request, lifetime context.Context, clock clockwork.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, interrupt := context.WithCancelCause(request)
	stop := context.AfterFunc(lifetime, func() { interrupt(errStopped) })
	ctx, cancel := clockwork.WithDeadline(ctx, clock, deadline)
	return ctx, func() {
		stop()
		cancel()
		interrupt(nil)
	}
}

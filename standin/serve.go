package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// shutdownTimeout limits how long a stopping stand-in waits for open requests.
const shutdownTimeout = 30 * time.Second

// Serve serves h on l until ctx is done, then lets open requests finish.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- srv.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve on %s", l.Addr())
	}
	return eris.Wrap(<-stopped, "shut down")
}

// writeJSON sends v as JSON, with a Content-Length.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, body)
}

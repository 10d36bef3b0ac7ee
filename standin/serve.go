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

// shutdownLimit bounds how long a stopping stand-in waits for open requests.
const shutdownLimit = 30 * time.Second

// Serve runs the handler on l until ctx ends, then lets open requests finish.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
		defer cancel()
		stopped <- srv.Shutdown(limited)
	})
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve on %s", l.Addr())
	}
	return eris.Wrap(<-stopped, "shut down")
}

// writeJSON answers with v as JSON and an explicit length.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, body)
}

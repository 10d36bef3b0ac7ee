package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// headerRevision carries the revision of a platform value.
const headerRevision = "Revision"

// Handler serves the platform's interface and the control endpoints:
//
//	POST /control/publish/{key}?revision=N   publishes the body as the value
//	POST /control/mode/{mode}                up, down, refuse, silent, stale, older
//	GET  /control/stats                      PlatformStats
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/value/{key...}", p.serveRead)
	mux.HandleFunc("GET /v1/watch/{key...}", p.serveWatch)
	mux.HandleFunc("POST /control/publish/{key...}", p.servePublish)
	mux.HandleFunc("POST /control/mode/{mode}", p.serveMode)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return mux
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !p.chargeRead(key, false) {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	v, mode, _ := p.readValue(key)
	writeValue(w, r, v, mode, http.StatusNotFound)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "wait: want a duration", http.StatusBadRequest)
		return
	}
	if !p.chargeRead(key, true) {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	v, mode := p.watch(r.Context(), key, after, wait)
	writeValue(w, r, v, mode, http.StatusNotModified)
}

// writeValue sends a value, or noValueStatus if it is the zero Value.
func writeValue(w http.ResponseWriter, r *http.Request, v Value, mode Mode, noValueStatus int) {
	switch {
	case mode == ModeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case mode == ModeRefuse:
		panic(http.ErrAbortHandler)
	case mode == ModeDown:
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
	case v.Rev == 0:
		w.WriteHeader(noValueStatus)
	default:
		w.Header().Set(headerRevision, strconv.FormatUint(v.Rev, 10))
		writeBody(w, http.StatusOK, v.Body)
	}
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var rev uint64
	if s := r.FormValue("revision"); s != "" {
		if rev, err = strconv.ParseUint(s, 10, 64); err != nil {
			http.Error(w, "revision: want a number", http.StatusBadRequest)
			return
		}
	}
	rev = p.Publish(r.PathValue("key"), rev, body)
	w.Header().Set(headerRevision, strconv.FormatUint(rev, 10))
}

func (p *Platform) serveMode(w http.ResponseWriter, r *http.Request) {
	switch m := Mode(r.PathValue("mode")); m {
	case ModeUp, ModeDown, ModeRefuse, ModeSilent, ModeStale, ModeOlder:
		p.SetMode(m)
	default:
		http.Error(w, "mode: want up, down, refuse, silent, stale or older", http.StatusNotFound)
	}
}

// writeBody sends a body with its Content-Length.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

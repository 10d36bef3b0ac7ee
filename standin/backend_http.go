package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/frame"
)

// maxBody bounds a request body in bytes.
const maxBody = 4 << 20

// Health is the answer of /health.
type Health struct {
	State string `json:"state"`
}

// Load is the answer of /load.
type Load struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// Handler serves the backend interface and, under /control/, the switches:
//
//	GET  /control/knobs            Knobs
//	POST /control/knobs            changes the fields that the body names
//	POST /control/drain            starts draining
//	GET  /control/ledger?tokens=1  LedgerView, with an entry per token
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{operation}", b.serveOperation)
	mux.HandleFunc("GET /health", b.serveHealth)
	mux.HandleFunc("GET /load", b.serveLoad)
	mux.Handle("/control/", b.ControlHandler())
	return mux
}

// ControlHandler serves only the switches.
func (b *Backend) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/knobs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.Knobs())
	})
	mux.HandleFunc("POST /control/knobs", b.serveKnobs)
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { b.Drain() })
	mux.HandleFunc("GET /control/ledger", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, b.Ledger(r.FormValue("tokens") != ""))
	})
	return mux
}

func (b *Backend) serveKnobs(w http.ResponseWriter, r *http.Request) {
	k := b.Knobs()
	if err := json.NewDecoder(r.Body).Decode(&k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetKnobs(k)
}

func (b *Backend) serveOperation(w http.ResponseWriter, r *http.Request) {
	if b.Knobs().Down {
		panic(http.ErrAbortHandler)
	}
	operation := r.PathValue("operation")
	if _, ok := b.set.Calls[operation]; !ok {
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	// The body is read to its end, because net/http notices a closed
	// connection only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var ask Ask
	if err == nil {
		err = json.Unmarshal(body, &ask)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), b.timeLeft(r))
	defer cancel()
	if err := b.slots.acquire(ctx); err != nil {
		b.ledger.abandon(operation)
		http.Error(w, "cancelled while queued", http.StatusServiceUnavailable)
		return
	}
	defer b.slots.release()
	out, err := b.run(ctx, operation, ask, r.Header)
	b.answer(w, operation, ask, out, err)
}

func (b *Backend) timeLeft(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(frame.HeaderTimeout)); err == nil && d > 0 {
		return d
	}
	return b.set.Timeout.D()
}

// rawReply is a Reply whose parts are passed on as they came.
type rawReply struct {
	Token     string            `json:"token"`
	Service   string            `json:"service"`
	Operation string            `json:"operation"`
	Parts     []json.RawMessage `json:"parts,omitempty"`
	Pad       string            `json:"pad,omitempty"`
	Error     string            `json:"error,omitempty"`
}

func (b *Backend) answer(w http.ResponseWriter, operation string, ask Ask, out outcome, err error) {
	reply := rawReply{
		Token: ask.Token, Service: b.set.Service, Operation: operation,
		Parts: out.parts, Pad: strings.Repeat("x", b.set.Padding),
	}
	status := http.StatusOK
	if err != nil {
		reply.Error, status = err.Error(), http.StatusBadGateway
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !b.halve() {
		writeBody(w, status, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	// The half must leave the server before the connection is cut.
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

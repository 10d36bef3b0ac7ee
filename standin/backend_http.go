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

// maxRequestBytes limits a request body.
const maxRequestBytes = 4 << 20

// Health is the response body of /health.
type Health struct {
	State string `json:"state"`
}

// Load is the response body of /load.
type Load struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// Handler serves the backend interface and the control endpoints:
//
//	GET  /control/knobs            BackendFaults
//	POST /control/knobs            sets the fields present in the body
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

// ControlHandler serves only the control endpoints.
func (b *Backend) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/knobs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.Faults())
	})
	mux.HandleFunc("POST /control/knobs", b.serveFaults)
	mux.HandleFunc("POST /control/drain", func(http.ResponseWriter, *http.Request) { b.Drain() })
	mux.HandleFunc("GET /control/ledger", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, b.Ledger(r.FormValue("tokens") != ""))
	})
	return mux
}

func (b *Backend) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := b.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(faults)
}

func (b *Backend) serveOperation(w http.ResponseWriter, r *http.Request) {
	if b.Faults().Down {
		panic(http.ErrAbortHandler)
	}
	operation := r.PathValue("operation")
	if _, ok := b.settings.Calls[operation]; !ok {
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	// The body is read to its end, because net/http detects a closed
	// connection only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var reqBody RequestBody
	if err == nil {
		err = json.Unmarshal(body, &reqBody)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), b.timeLeft(r))
	defer cancel()
	if err := b.slots.acquire(ctx); err != nil {
		b.ledger.recordAbandoned(operation)
		http.Error(w, "cancelled while queued", http.StatusServiceUnavailable)
		return
	}
	defer b.slots.release()
	result, err := b.run(ctx, operation, reqBody, r.Header)
	b.respond(w, operation, reqBody, result, err)
}

func (b *Backend) timeLeft(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(frame.HeaderTimeout)); err == nil && d > 0 {
		return d
	}
	return b.settings.Timeout.D()
}

// rawResponseBody is a ResponseBody that forwards the child responses unparsed.
type rawResponseBody struct {
	Token          string            `json:"token"`
	Service        string            `json:"service"`
	Operation      string            `json:"operation"`
	ChildResponses []json.RawMessage `json:"parts,omitempty"`
	Padding        string            `json:"pad,omitempty"`
	Error          string            `json:"error,omitempty"`
}

func (b *Backend) respond(w http.ResponseWriter, operation string, reqBody RequestBody, result runResult, err error) {
	if raw := b.Faults().RawResponse; raw != "" {
		writeRaw(w, raw, justClose)
		return
	}
	response := rawResponseBody{
		Token: reqBody.Token, Service: b.settings.Service, Operation: operation,
		ChildResponses: result.childResponses, Padding: strings.Repeat("x", b.settings.PaddingBytes),
	}
	status := http.StatusOK
	if err != nil {
		response.Error, status = err.Error(), http.StatusBadGateway
	}
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !b.drawTruncation() {
		writeBody(w, status, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	// Send the first half before the connection is closed.
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

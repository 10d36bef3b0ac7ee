package operator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodhead/frame"
)

// Options configures the handler. All fields are required.
type Options struct {
	Status func() Status
	// Policy returns the active policy in a form that encodes to JSON, nil
	// if there is none yet.
	Policy func() any
	// Explain returns how a call would be handled; class "" is the operation's.
	Explain func(t frame.Target, class string) (Explanation, error)
}

// Handler returns the operators' HTTP handler.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.Status())
	})
	mux.HandleFunc("GET /policy", func(w http.ResponseWriter, _ *http.Request) {
		p := opts.Policy()
		if p == nil {
			http.Error(w, "no configuration in force yet", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, p)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) { explain(w, r, opts) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func explain(w http.ResponseWriter, r *http.Request, opts Options) {
	target, err := frame.ParseTarget(r.URL.Query().Get("op"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	explanation, err := opts.Explain(target, r.URL.Query().Get("class"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

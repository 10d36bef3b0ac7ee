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
	// Policy returns the policy in force in a form that encodes to JSON, nil
	// before the first.
	Policy func() any
	// Explain tells what would happen to a call; class "" is the operation's own.
	Explain func(t frame.Target, class string) (Explanation, error)
}

// Handler returns the operators' HTTP handler.
func Handler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, o.Status())
	})
	mux.HandleFunc("GET /policy", func(w http.ResponseWriter, _ *http.Request) {
		p := o.Policy()
		if p == nil {
			http.Error(w, "no configuration in force yet", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, p)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) { explain(w, r, o) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func explain(w http.ResponseWriter, r *http.Request, o Options) {
	t, err := frame.ParseTarget(r.URL.Query().Get("op"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := o.Explain(t, r.URL.Query().Get("class"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

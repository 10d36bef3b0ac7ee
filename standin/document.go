package standin

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Document is the subset of a base document that the stand-ins use. It is parsed
// without the checks of package policy, so that a test can also serve documents
// that nodes reject.
type Document struct {
	// Classes are the class names, highest priority first.
	Classes []string `json:"classes"`
	// PermitRatio is the number of retry permits earned per root request.
	PermitRatio float64 `json:"ratio"`
	// Services is keyed by the service's name.
	Services map[string]DocumentService `json:"services"`
}

// DocumentService is one service of a Document.
type DocumentService struct {
	// Slots limits the concurrent requests of one backend server.
	Slots int `json:"slots"`
	// Connections limits the open connections of one backend server.
	Connections int `json:"connections"`
	// Operations is keyed by the operation's name.
	Operations map[string]DocumentOperation `json:"operations"`
}

// DocumentOperation is one operation of a DocumentService.
type DocumentOperation struct {
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent"`
	Timeout    Duration `json:"timeout"`
	// Calls lists the downstream calls, as "service/operation".
	Calls []string `json:"calls"`
}

// ParseDocument parses a base document, JSON with comments.
func ParseDocument(src []byte) (*Document, error) {
	std, err := hujson.Standardize(src)
	if err != nil {
		return nil, eris.Wrap(err, "read base document")
	}
	d := &Document{}
	if err := json.Unmarshal(std, d); err != nil {
		return nil, eris.Wrap(err, "read base document")
	}
	return d, nil
}

// Graph maps "service/operation" to the operations that it calls.
type Graph map[string][]string

// Graph returns the calls of every declared operation.
func (d *Document) Graph() Graph {
	g := make(Graph)
	for service, s := range d.Services {
		for operation, o := range s.Operations {
			g[service+"/"+operation] = o.Calls
		}
	}
	return g
}

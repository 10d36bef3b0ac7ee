package standin

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Document is the part of a base document that the stand-ins use. It is read
// without the checks of package policy, so that a test can also serve documents
// that nodes reject.
type Document struct {
	// Classes are the class names, the most important first.
	Classes []string `json:"classes"`
	// Ratio is the number of retry permits earned per root call.
	Ratio float64 `json:"ratio"`
	// Services is keyed by the service's name.
	Services map[string]DocumentService `json:"services"`
}

// DocumentService is one service of a Document.
type DocumentService struct {
	// Slots is how many calls one backend server works on at a time.
	Slots int `json:"slots"`
	// Connections is how many connections one backend server accepts.
	Connections int `json:"connections"`
	// Operations is keyed by the operation's name.
	Operations map[string]DocumentOperation `json:"operations"`
}

// DocumentOperation is one operation of a DocumentService.
type DocumentOperation struct {
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent"`
	Timeout    Duration `json:"timeout"`
	// Calls lists the operations called, as "service/operation".
	Calls []string `json:"calls"`
}

// ReadDocument reads a base document, JSON with comments.
func ReadDocument(src []byte) (*Document, error) {
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

package policy

import (
	_ "embed"
	"time"

	"dogwoodhead/jsonc"
)

// maxDelay bounds a zone's delay; above it the zone is of no use for calls.
const maxDelay = 10 * time.Second

//go:embed overlay.schema.json
var overlaySource []byte

var overlaySchema = jsonc.MustCompile("overlay.schema.json", overlaySource)

// Overlay is an accepted overlay document. It is immutable.
type Overlay struct {
	doc    *jsonc.Document
	fields overlayFields
	zones  map[string]Zone
}

type overlayFields struct {
	Site     string                  `json:"site"`
	Tries    *int                    `json:"tries"`
	Ratio    *float64                `json:"ratio"`
	Burst    *int                    `json:"burst"`
	Zones    map[string]zoneFields   `json:"zones"`
	Services map[string]adjustFields `json:"services"`
}

type zoneFields struct {
	Delay *string  `json:"delay"`
	Cost  *float64 `json:"cost"`
}

// ParseOverlay checks an overlay document. file only appears in messages. The
// error joins a *CheckError for each fault that was found.
func ParseOverlay(file string, src []byte) (*Overlay, error) {
	o := &Overlay{zones: make(map[string]Zone)}
	doc, err := jsonc.Parse(file, src, overlaySchema, &o.fields)
	if err != nil {
		return nil, err
	}
	o.doc = doc
	var found []*CheckError
	for name, f := range o.fields.Services {
		found = append(found, checkSlots(doc, jsonc.Path{"services", name}, f)...)
	}
	for name, f := range o.fields.Zones {
		delay, _ := time.ParseDuration(orDefault(f.Delay, "0s"))
		if delay < 0 || delay > maxDelay {
			found = append(found, doc.Errorf(jsonc.Path{"zones", name, "delay"}, "delay %s: want 0s to %s", delay, maxDelay))
		}
		o.zones[name] = Zone{delay: delay, cost: orDefault(f.Cost, 1)}
	}
	if err := jsonc.Join(found); err != nil {
		return nil, err
	}
	return o, nil
}

// Site returns the site that the overlay belongs to.
func (o *Overlay) Site() string { return o.fields.Site }

package policy

import (
	_ "embed"
	"time"

	"dogwoodhead/jsonc"
)

// maxZoneDelay limits a zone's delay; a zone further away is useless for calls.
const maxZoneDelay = 10 * time.Second

//go:embed overlay.schema.json
var overlaySchemaSource []byte

var overlaySchema = jsonc.MustCompile("overlay.schema.json", overlaySchemaSource)

// Overlay is a valid overlay document. It is immutable.
type Overlay struct {
	doc    *jsonc.Document
	fields overlayFields
	zones  map[string]Zone
}

type overlayFields struct {
	Site     string                       `json:"site"`
	Tries    *int                         `json:"tries"`
	Ratio    *float64                     `json:"ratio"`
	Burst    *int                         `json:"burst"`
	Zones    map[string]zoneFields        `json:"zones"`
	Services map[string]overridableFields `json:"services"`
}

type zoneFields struct {
	Delay *string  `json:"delay"`
	Cost  *float64 `json:"cost"`
}

// ParseOverlay parses and validates an overlay document. The file name is only
// used in messages. The error joins one *CheckError for each error in the document.
func ParseOverlay(file string, src []byte) (*Overlay, error) {
	o := &Overlay{zones: make(map[string]Zone)}
	doc, err := jsonc.Parse(file, src, overlaySchema, &o.fields)
	if err != nil {
		return nil, err
	}
	o.doc = doc
	var errs []*CheckError
	for name, f := range o.fields.Services {
		errs = append(errs, checkSlotLimit(doc, jsonc.Path{"services", name}, f)...)
	}
	for name, f := range o.fields.Zones {
		delay, _ := time.ParseDuration(orDefault(f.Delay, "0s"))
		if delay < 0 || delay > maxZoneDelay {
			errs = append(errs, doc.Errorf(jsonc.Path{"zones", name, "delay"}, "delay %s: want 0s to %s", delay, maxZoneDelay))
		}
		o.zones[name] = Zone{delay: delay, cost: orDefault(f.Cost, 1)}
	}
	if err := jsonc.Join(errs); err != nil {
		return nil, err
	}
	return o, nil
}

// Site returns the site that the overlay belongs to.
func (o *Overlay) Site() string { return o.fields.Site }

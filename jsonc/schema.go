package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"math/big"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"dogwoodhead/frame"
)

// Schema is a compiled JSON Schema. In addition to the standard vocabulary it
// supports the string formats name, target, go-duration, address and http-url.
type Schema struct {
	compiled *jsonschema.Schema
	// decoded is the schema document, in maps and slices as in encoding/json.
	decoded any
}

// MustCompile compiles a schema that is embedded in the program. It panics if the
// schema is malformed, so a test that parses any document detects that.
func MustCompile(name string, src []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(src))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for format, check := range formats {
		c.RegisterFormat(&jsonschema.Format{Name: format, Validate: stringFormat(check)})
	}
	location := "embedded:///" + name
	if err := c.AddResource(location, doc); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return &Schema{compiled: c.MustCompile(location), decoded: doc}
}

var formats = map[string]func(string) error{
	"name":        checkName,
	"target":      checkTarget,
	"go-duration": checkDuration,
	"address":     checkAddress,
	"http-url":    checkURL,
}

// stringFormat adapts a check of strings; the keyword "type" checks other types.
func stringFormat(check func(string) error) func(any) error {
	return func(v any) error {
		s, ok := v.(string)
		if !ok {
			return nil
		}
		return check(s)
	}
}

func checkName(s string) error {
	if !frame.ValidName(s) {
		return fmt.Errorf("name %q: want 1 to 64 of a-z, 0-9 and '-'", s)
	}
	return nil
}

func checkTarget(s string) error {
	_, err := frame.ParseTarget(s)
	return err
}

func checkDuration(s string) error {
	if _, err := time.ParseDuration(s); err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, for example 250ms or 2s", s)
	}
	return nil
}

func checkAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("address %q: want ip:port", s)
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Errorf("URL %q: want http://host:port", s)
	}
	return nil
}

// violation is one violation of the schema, at one path of the document.
type violation struct {
	path   Path
	reason string
	// atKey sets the position to the member's name instead of its value.
	atKey bool
}

// check returns the violations of a decoded document.
func (s *Schema) check(instance any) []violation {
	err := s.compiled.Validate(instance)
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return nil
	}
	return s.leafViolations(v)
}

func (s *Schema) leafViolations(v *jsonschema.ValidationError) []violation {
	path := Path(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		var violations []violation
		for _, name := range k.Properties {
			reason := "unknown field"
			if s.isNameMap(v.SchemaURL) {
				reason = textOr(checkName(name), reason)
			}
			violations = append(violations, violation{path: path.With(name), reason: reason, atKey: true})
		}
		return violations
	case *kind.UniqueItems:
		return []violation{{path: path.With(strconv.Itoa(k.Duplicates[1])), reason: "duplicate entry"}}
	}
	if len(v.Causes) == 0 {
		return []violation{{path: path, reason: describe(v.ErrorKind)}}
	}
	var violations []violation
	for _, cause := range v.Causes {
		violations = append(violations, s.leafViolations(cause)...)
	}
	return violations
}

// isNameMap reports whether the schema at a location describes an object whose
// keys are names chosen by the operator. The keyword propertyNames could check
// them, but jsonschema v6.0.3 reports its violations with a wrong instance
// location: it keeps a slice of a buffer that it overwrites later.
func (s *Schema) isNameMap(location string) bool {
	_, pointer, _ := strings.Cut(location, "#")
	node := s.decoded
	for token := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		object, ok := node.(map[string]any)
		if !ok {
			return false
		}
		node = object[token]
	}
	object, _ := node.(map[string]any)
	return object["patternProperties"] != nil
}

// describe formats a violation for operators who do not know JSON Schema.
func describe(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Format:
		return textOr(k.Err, "malformed")
	case *kind.Required:
		missing := slices.Clone(k.Missing)
		slices.Sort(missing)
		return "missing " + strings.Join(missing, ", ")
	case *kind.Type:
		return fmt.Sprintf("want %s, got %s", strings.Join(k.Want, " or "), k.Got)
	case *kind.Minimum:
		return fmt.Sprintf("want at least %s, got %s", decimal(k.Want), decimal(k.Got))
	case *kind.Maximum:
		return fmt.Sprintf("want at most %s, got %s", decimal(k.Want), decimal(k.Got))
	case *kind.MinItems:
		return fmt.Sprintf("has %d entries, want at least %d", k.Got, k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("has %d entries, want at most %d", k.Got, k.Want)
	case *kind.MinProperties:
		return fmt.Sprintf("has %d entries, want at least %d", k.Got, k.Want)
	}
	return k.LocalizedString(message.NewPrinter(language.English))
}

// decimal formats a bound or value without an exponent.
func decimal(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func textOr(err error, fallback string) string {
	if err == nil {
		return fallback
	}
	return err.Error()
}

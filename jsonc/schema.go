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

// Schema is a compiled JSON Schema. Beside the standard vocabulary it knows the
// string formats name, target, go-duration, address and http-url.
type Schema struct {
	compiled *jsonschema.Schema
	// source is the decoded schema, with maps and slices as in encoding/json.
	source any
}

// MustCompile compiles a schema that is embedded in the program; it panics
// where the schema is malformed, which a test of any document shows.
func MustCompile(name string, src []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(src))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for format, check := range formats {
		c.RegisterFormat(&jsonschema.Format{Name: format, Validate: onString(check)})
	}
	location := "embedded:///" + name
	if err := c.AddResource(location, doc); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return &Schema{compiled: c.MustCompile(location), source: doc}
}

var formats = map[string]func(string) error{
	"name":        checkName,
	"target":      checkTarget,
	"go-duration": checkDuration,
	"address":     checkAddress,
	"http-url":    checkURL,
}

// onString adapts a check of strings; other types are left to the keyword "type".
func onString(check func(string) error) func(any) error {
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

// fault is one violation at a place of the document.
type fault struct {
	path   Path
	reason string
	// key points the position at the member's name instead of its value.
	key bool
}

// check returns the violations of a decoded document.
func (s *Schema) check(instance any) []fault {
	err := s.compiled.Validate(instance)
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return nil
	}
	return s.leaves(v)
}

func (s *Schema) leaves(v *jsonschema.ValidationError) []fault {
	at := Path(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		var found []fault
		for _, name := range k.Properties {
			reason := "unknown field"
			if s.named(v.SchemaURL) {
				reason = reasonOf(checkName(name), reason)
			}
			found = append(found, fault{path: at.With(name), reason: reason, key: true})
		}
		return found
	case *kind.UniqueItems:
		return []fault{{path: at.With(strconv.Itoa(k.Duplicates[1])), reason: "duplicate entry"}}
	}
	if len(v.Causes) == 0 {
		return []fault{{path: at, reason: describe(v.ErrorKind)}}
	}
	var found []fault
	for _, cause := range v.Causes {
		found = append(found, s.leaves(cause)...)
	}
	return found
}

// named reports whether the schema at a location describes a map from names
// that the operator chooses. The keyword propertyNames would say so as well, but
// jsonschema v6.0.3 reports it with a wrong instance location: it keeps a slice
// of a buffer that it overwrites later.
func (s *Schema) named(location string) bool {
	_, pointer, _ := strings.Cut(location, "#")
	at := s.source
	for token := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		object, ok := at.(map[string]any)
		if !ok {
			return false
		}
		at = object[token]
	}
	object, _ := at.(map[string]any)
	return object["patternProperties"] != nil
}

// describe words a violation for an operator who does not know JSON Schema.
func describe(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Format:
		return reasonOf(k.Err, "malformed")
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

// decimal prints a bound or value without an exponent.
func decimal(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func reasonOf(err error, otherwise string) string {
	if err == nil {
		return otherwise
	}
	return err.Error()
}

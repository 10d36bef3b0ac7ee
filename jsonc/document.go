package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest document, the largest value that the platform holds.
	MaxBytes = 1 << 20
	// maxNesting bounds brackets within brackets. The parser is recursive: without
	// a bound a document of MaxBytes opening brackets overflows the stack.
	maxNesting = 32
	// maxNumber is the longest number literal and maxExponent its largest
	// exponent. Others serve no field, and the schema's checks, which have
	// arbitrary precision, would be slow.
	maxNumber   = 32
	maxExponent = 400
	// maxWhole is far above the largest integer of any field and within the
	// integers that a float64 holds exactly.
	maxWhole = 1e15
)

// Path locates a value: the names and indexes from the root.
type Path []string

// With returns a new path with more elements.
func (p Path) With(more ...string) Path {
	return append(append(make(Path, 0, len(p)+len(more)), p...), more...)
}

// String returns the path as a JSON pointer (RFC 6901), "" for the root.
func (p Path) String() string {
	var b strings.Builder
	for _, token := range p {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(token))
	}
	return b.String()
}

// Document is an accepted document with the positions of its values.
type Document struct {
	file string
	src  []byte
	root hujson.Value
}

// Parse checks src against the schema and decodes it into the value that into
// points to, which must accept every document that the schema accepts. The
// error joins every *CheckError of the first stage that found any: syntax,
// duplicate keys and numbers, schema.
func Parse(file string, src []byte, schema *Schema, into any) (*Document, error) {
	d := &Document{file: file, src: bytes.Clone(src)}
	if len(src) > MaxBytes {
		return nil, d.at(0, nil, fmt.Sprintf("document has %d bytes, at most %d are allowed", len(src), MaxBytes))
	}
	if offset, ok := shallow(d.src); !ok {
		return nil, d.at(offset, nil, fmt.Sprintf("nested deeper than %d brackets", maxNesting))
	}
	root, err := hujson.Parse(d.src)
	if err != nil {
		return nil, d.syntax(err)
	}
	d.root = root
	if found := d.scan(&root, nil); len(found) > 0 {
		return nil, Join(found)
	}
	plain := root.Clone()
	plain.Standardize()
	std := plain.Pack()
	if err := d.validate(std, schema); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	// A field that the schema has and the type has not is a fault of the program.
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return nil, d.at(0, nil, "schema and program disagree: "+err.Error())
	}
	return d, nil
}

func (d *Document) validate(std []byte, schema *Schema) error {
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(std))
	if err != nil {
		return d.at(0, nil, err.Error())
	}
	var found []*CheckError
	for _, f := range schema.check(instance) {
		found = append(found, d.at(d.offset(f.path, f.key), f.path, f.reason))
	}
	return Join(found)
}

// Errorf returns an error at the value of a path, or at the closest parent that
// is in the source.
func (d *Document) Errorf(path Path, format string, args ...any) *CheckError {
	return d.at(d.offset(path, false), path, fmt.Sprintf(format, args...))
}

// Position returns the place of the name of the member at a path, or of the
// element at it.
func (d *Document) Position(path Path) Position {
	return d.position(d.offset(path, true))
}

func (d *Document) at(offset int, path Path, reason string) *CheckError {
	return &CheckError{Position: d.position(offset), path: path.String(), reason: reason}
}

func (d *Document) position(offset int) Position {
	before := d.src[:offset]
	return Position{
		file:   d.file,
		line:   1 + bytes.Count(before, []byte("\n")),
		column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

// offset returns where the deepest existing value of the path starts.
func (d *Document) offset(path Path, key bool) int {
	at, v := d.root.StartOffset, &d.root
	for i, token := range path {
		name, child := step(v, token)
		if child == nil {
			return at
		}
		at, v = child.StartOffset, child
		if key && name != nil && i == len(path)-1 {
			return name.StartOffset
		}
	}
	return at
}

// step returns the member's name, nil in an array, and its value.
func step(v *hujson.Value, token string) (name, child *hujson.Value) {
	switch c := v.Value.(type) {
	case *hujson.Object:
		for i := range c.Members {
			m := &c.Members[i]
			if m.Name.Value.(hujson.Literal).String() == token {
				return &m.Name, &m.Value
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(token); err == nil && i >= 0 && i < len(c.Elements) {
			return nil, &c.Elements[i]
		}
	}
	return nil, nil
}

// scan reports what a JSON decoder would pass over in silence: duplicate keys
// and unusual numbers. It rewrites 3.0 to 3, because JSON Schema calls that an
// integer and encoding/json does not.
func (d *Document) scan(v *hujson.Value, path Path) []*CheckError {
	var found []*CheckError
	switch c := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(c.Members))
		for i := range c.Members {
			m := &c.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			at := path.With(name)
			if seen[name] {
				found = append(found, d.at(m.Name.StartOffset, at, "duplicate key"))
			}
			seen[name] = true
			found = append(found, d.scan(&m.Value, at)...)
		}
	case *hujson.Array:
		for i := range c.Elements {
			found = append(found, d.scan(&c.Elements[i], path.With(strconv.Itoa(i)))...)
		}
	case hujson.Literal:
		if c.Kind() != '0' {
			return nil
		}
		if !usable(c) {
			reason := fmt.Sprintf("number is too long: want at most %d characters and an exponent up to %d", maxNumber, maxExponent)
			return []*CheckError{d.at(v.StartOffset, path, reason)}
		}
		v.Value = whole(c)
	}
	return found
}

func usable(c hujson.Literal) bool {
	if len(c) > maxNumber {
		return false
	}
	i := bytes.IndexAny(c, "eE")
	if i < 0 {
		return true
	}
	exponent, err := strconv.Atoi(string(c[i+1:]))
	return err == nil && max(exponent, -exponent) <= maxExponent
}

// whole rewrites 3.0 and 3e0 to 3.
func whole(c hujson.Literal) hujson.Literal {
	f := c.Float()
	if !bytes.ContainsAny(c, ".eE") || f != math.Trunc(f) || math.Abs(f) > maxWhole {
		return c
	}
	return hujson.Int(int64(f))
}

// opaque matches strings and comments, finished or not.
var opaque = regexp.MustCompile(`"(?:[^"\\\n]|\\.)*"?|//[^\n]*|/\*(?s:.*?)(?:\*/|\z)`)

// shallow reports whether no bracket is nested deeper than maxNesting, or where
// the first one is that is.
func shallow(src []byte) (offset int, ok bool) {
	depth, next := 0, 0
	for _, skip := range append(opaque.FindAllIndex(src, -1), []int{len(src), len(src)}) {
		for i := next; i < skip[0]; i++ {
			switch src[i] {
			case '{', '[':
				depth++
			case '}', ']':
				depth--
			}
			if depth > maxNesting {
				return i, false
			}
		}
		next = skip[1]
	}
	return 0, true
}

// hujsonError is how package hujson words a syntax error.
var hujsonError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func (d *Document) syntax(err error) *CheckError {
	e := &CheckError{Position: Position{file: d.file, line: 1, column: 1}, reason: err.Error()}
	if m := hujsonError.FindStringSubmatch(err.Error()); m != nil {
		e.line, _ = strconv.Atoi(m[1])
		e.column, _ = strconv.Atoi(m[2])
		e.reason = "syntax: " + m[3]
	}
	return e
}

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
	// MaxBytes is the maximum size of a document: the platform's limit for a value.
	MaxBytes = 1 << 20
	// maxNesting bounds the nesting depth of objects and arrays. The parser is
	// recursive: MaxBytes opening brackets would overflow the stack.
	maxNesting = 32
	// maxNumberLen is the maximum length of a number literal and maxExponent its
	// maximum exponent. No field needs more, and larger numbers would slow down the
	// schema's checks, which use arbitrary precision.
	maxNumberLen = 32
	maxExponent  = 400
	// maxInteger is far above the largest integer of any field and within the
	// integers that a float64 represents exactly.
	maxInteger = 1e15
)

// Path is the location of a value: the names and indexes from the root.
type Path []string

// With returns a copy of the path with more elements appended.
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

// Document is a valid document with the positions of its values.
type Document struct {
	file string
	src  []byte
	root hujson.Value
}

// Parse checks src against the schema and decodes it into the value that target
// points to. Its type must accept every document that the schema accepts. The
// checks run in stages: size and nesting; syntax; duplicate keys and numbers;
// schema. The error joins every *CheckError of the first stage that fails.
func Parse(file string, src []byte, schema *Schema, target any) (*Document, error) {
	d := &Document{file: file, src: bytes.Clone(src)}
	if len(src) > MaxBytes {
		return nil, d.errorAt(0, nil, fmt.Sprintf("document has %d bytes, at most %d are allowed", len(src), MaxBytes))
	}
	if offset, ok := checkNesting(d.src); !ok {
		return nil, d.errorAt(offset, nil, fmt.Sprintf("nested deeper than %d brackets", maxNesting))
	}
	root, err := hujson.Parse(d.src)
	if err != nil {
		return nil, d.syntaxError(err)
	}
	d.root = root
	if errs := d.checkAndNormalize(&root, nil); len(errs) > 0 {
		return nil, Join(errs)
	}
	standard := root.Clone()
	standard.Standardize()
	stdJSON := standard.Pack()
	if err := d.validate(stdJSON, schema); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(stdJSON))
	// A field that the schema allows but the type of target lacks is a bug.
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return nil, d.errorAt(0, nil, "the schema allows a document that the program cannot decode: "+err.Error())
	}
	return d, nil
}

func (d *Document) validate(stdJSON []byte, schema *Schema) error {
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(stdJSON))
	if err != nil {
		return d.errorAt(0, nil, err.Error())
	}
	var errs []*CheckError
	for _, v := range schema.check(instance) {
		errs = append(errs, d.errorAt(d.offset(v.path, v.atKey), v.path, v.reason))
	}
	return Join(errs)
}

// Errorf returns an error at the value of a path, or at its closest parent that
// exists in the source.
func (d *Document) Errorf(path Path, format string, args ...any) *CheckError {
	return d.errorAt(d.offset(path, false), path, fmt.Sprintf(format, args...))
}

// Position returns the position of the object member or array element at a path.
// For a member it is that of the name.
func (d *Document) Position(path Path) Position {
	return d.positionOf(d.offset(path, true))
}

func (d *Document) errorAt(offset int, path Path, reason string) *CheckError {
	return &CheckError{Position: d.positionOf(offset), path: path.String(), reason: reason}
}

func (d *Document) positionOf(offset int) Position {
	before := d.src[:offset]
	return Position{
		file:   d.file,
		line:   1 + bytes.Count(before, []byte("\n")),
		column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

// offset returns the start of the deepest existing value on the path. With atKey
// it is that of the member's name if the whole path exists.
func (d *Document) offset(path Path, atKey bool) int {
	offset, v := d.root.StartOffset, &d.root
	for i, token := range path {
		name, child := lookup(v, token)
		if child == nil {
			return offset
		}
		offset, v = child.StartOffset, child
		if atKey && name != nil && i == len(path)-1 {
			return name.StartOffset
		}
	}
	return offset
}

// lookup returns a child's name, nil in an array, and its value, nil if there is none.
func lookup(v *hujson.Value, token string) (name, child *hujson.Value) {
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

// checkAndNormalize reports what a JSON decoder accepts silently: duplicate keys
// and numbers beyond the limits. It rewrites 3.0 to 3, because 3.0 is an integer
// for JSON Schema but not for encoding/json.
func (d *Document) checkAndNormalize(v *hujson.Value, path Path) []*CheckError {
	var errs []*CheckError
	switch c := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(c.Members))
		for i := range c.Members {
			m := &c.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			memberPath := path.With(name)
			if seen[name] {
				errs = append(errs, d.errorAt(m.Name.StartOffset, memberPath, "duplicate key"))
			}
			seen[name] = true
			errs = append(errs, d.checkAndNormalize(&m.Value, memberPath)...)
		}
	case *hujson.Array:
		for i := range c.Elements {
			errs = append(errs, d.checkAndNormalize(&c.Elements[i], path.With(strconv.Itoa(i)))...)
		}
	case hujson.Literal:
		if c.Kind() != '0' {
			return nil
		}
		if !withinNumberLimits(c) {
			reason := fmt.Sprintf("number is too long: want at most %d characters and an exponent up to %d", maxNumberLen, maxExponent)
			return []*CheckError{d.errorAt(v.StartOffset, path, reason)}
		}
		v.Value = normalizeInteger(c)
	}
	return errs
}

func withinNumberLimits(c hujson.Literal) bool {
	if len(c) > maxNumberLen {
		return false
	}
	i := bytes.IndexAny(c, "eE")
	if i < 0 {
		return true
	}
	exponent, err := strconv.Atoi(string(c[i+1:]))
	return err == nil && max(exponent, -exponent) <= maxExponent
}

// normalizeInteger rewrites 3.0 and 3e0 to 3.
func normalizeInteger(c hujson.Literal) hujson.Literal {
	f := c.Float()
	if !bytes.ContainsAny(c, ".eE") || f != math.Trunc(f) || math.Abs(f) > maxInteger {
		return c
	}
	return hujson.Int(int64(f))
}

// stringOrComment matches strings and comments, also unterminated ones.
var stringOrComment = regexp.MustCompile(`"(?:[^"\\\n]|\\.)*"?|//[^\n]*|/\*(?s:.*?)(?:\*/|\z)`)

// checkNesting reports whether the nesting is at most maxNesting, else the offset
// of the first bracket beyond it.
func checkNesting(src []byte) (offset int, ok bool) {
	depth, start := 0, 0
	for _, skip := range append(stringOrComment.FindAllIndex(src, -1), []int{len(src), len(src)}) {
		for i := start; i < skip[0]; i++ {
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
		start = skip[1]
	}
	return 0, true
}

// hujsonSyntaxError matches the text of a syntax error of package hujson.
var hujsonSyntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func (d *Document) syntaxError(err error) *CheckError {
	e := &CheckError{Position: Position{file: d.file, line: 1, column: 1}, reason: err.Error()}
	if m := hujsonSyntaxError.FindStringSubmatch(err.Error()); m != nil {
		e.line, _ = strconv.Atoi(m[1])
		e.column, _ = strconv.Atoi(m[2])
		e.reason = "syntax: " + m[3]
	}
	return e
}

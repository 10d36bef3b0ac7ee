package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dogwoodhead/frame"
)

type object = map[string]any

// maybe sets a field in some of the drawn documents.
func maybe[V any](t *rapid.T, o object, field string, g *rapid.Generator[V]) {
	if rapid.Bool().Draw(t, "has "+field) {
		o[field] = g.Draw(t, field)
	}
}

// drawAdjust draws the fields of a service that both documents have, with few
// slots and connections so that they collide often.
func drawAdjust(t *rapid.T) object {
	o := object{}
	maybe(t, o, "slots", rapid.IntRange(1, 20))
	low, _ := o["slots"].(int)
	maybe(t, o, "connections", rapid.IntRange(max(low, 1), 25))
	maybe(t, o, "queue", rapid.IntRange(0, 9))
	maybe(t, o, "share", rapid.Float64Range(0.25, 1))
	maybe(t, o, "spill", rapid.Float64Range(0, 2))
	return o
}

func drawTop(t *rapid.T, o object) {
	maybe(t, o, "tries", rapid.IntRange(0, 16))
	maybe(t, o, "ratio", rapid.Float64Range(0, 1))
	maybe(t, o, "burst", rapid.IntRange(0, 1000))
}

// drawBase draws an acceptable base: operations call only later ones, and are
// idempotent only if these are.
func drawBase(t *rapid.T) object {
	o := object{"classes": []string{"booking", "browse"}, "depth": 16}
	drawTop(t, o)
	maybe(t, o, "control", rapid.SampledFrom([]string{"full", "none", "fixed", "ratio"}))
	maybe(t, o, "zones", rapid.Just([]string{"z1", "z2"}))
	names := []string{"s1", "s2", "s3"}[:rapid.IntRange(1, 3).Draw(t, "services")]
	services := object{}
	var later []string
	unsafe := make(map[string]bool)
	for _, name := range slices.Backward(names) {
		s := drawAdjust(t)
		if s["slots"] == nil {
			s["slots"] = 1
		}
		ops := object{}
		for _, op := range []string{"b", "a"} {
			calls := slices.Clone(rapid.SliceOfDistinct(rapid.SampledFrom(append(later, "")), rapid.ID).Draw(t, "calls"))
			calls = slices.DeleteFunc(calls, func(s string) bool { return s == "" })
			target := name + "/" + op
			unsafe[target] = rapid.Bool().Draw(t, "unsafe") ||
				slices.ContainsFunc(calls, func(s string) bool { return unsafe[s] })
			ops[op] = object{
				"class":      rapid.SampledFrom([]string{"booking", "browse"}).Draw(t, "class"),
				"idempotent": !unsafe[target], "calls": calls,
			}
			later = append(later, target)
		}
		s["operations"] = ops
		services[name] = s
	}
	o["services"] = services
	return o
}

func drawOverlay(t *rapid.T) object {
	services, zones := object{}, object{}
	for _, name := range []string{"s1", "s2", "s3", "unknown"} {
		maybe(t, services, name, rapid.Custom(drawAdjust))
	}
	for _, name := range []string{"z1", "unknown"} {
		maybe(t, zones, name, rapid.Just(object{"delay": "2ms", "cost": 1.5}))
	}
	o := object{"site": "s", "services": services, "zones": zones}
	drawTop(t, o)
	return o
}

// encode writes a document with the fields in a drawn order.
func encode(t *rapid.T, v any) string {
	o, ok := v.(object)
	if !ok {
		b, err := json.Marshal(v)
		require.NoError(t, err)
		return string(b)
	}
	var parts []string
	for _, k := range rapid.Permutation(slices.Sorted(maps.Keys(o))).Draw(t, "order") {
		parts = append(parts, fmt.Sprintf("%q: %s, // %s\n", k, encode(t, o[k]), k))
	}
	return "{" + strings.Join(parts, "") + "}"
}

func mustBase(t require.TestingT, src string) *Base {
	b, err := ParseBase("base", []byte(src))
	require.NoError(t, err)
	return b
}

func mustOverlay(t require.TestingT, src string) *Overlay {
	o, err := ParseOverlay("overlay", []byte(src))
	require.NoError(t, err)
	return o
}

func show(t require.TestingT, p *Policy) string {
	b, err := p.MarshalJSON()
	require.NoError(t, err)
	return string(b)
}

// expectedWarnings counts entries without effect and slots that are cut.
func expectedWarnings(base, overlay object) int {
	n := 0
	declared := base["services"].(object)
	for name, v := range overlay["services"].(object) {
		s, ok := declared[name].(object)
		if !ok {
			n++
			continue
		}
		both := maps.Clone(s)
		maps.Copy(both, v.(object))
		if c, ok := both["connections"].(int); ok && both["slots"].(int) > c {
			n++
		}
	}
	if _, ok := overlay["zones"].(object)["unknown"]; ok && base["zones"] != nil {
		n++
	}
	return n
}

// Guards against a pair of accepted documents that some node cannot merge, that
// gives an invalid policy, or whose policy depends on the order of fields.
func TestMergeIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, overlay := drawBase(t), drawOverlay(t)
		p, warnings := Merge(mustBase(t, encode(t, base)), mustOverlay(t, encode(t, overlay)))
		require.Len(t, warnings, expectedWarnings(base, overlay), "%v", warnings)
		printed := show(t, p)
		again, _ := Merge(mustBase(t, encode(t, base)), mustOverlay(t, encode(t, overlay)))
		require.Equal(t, printed, show(t, again))

		// What is printed, without site and zones, is itself an acceptable base
		// that gives the same policy.
		var fields object
		require.NoError(t, json.Unmarshal([]byte(printed), &fields))
		delete(fields, "site")
		delete(fields, "zones")
		src, err := json.Marshal(fields)
		require.NoError(t, err)
		p2, warnings := Merge(mustBase(t, string(src)), nil)
		require.Empty(t, warnings)
		require.JSONEq(t, string(src), show(t, p2))
		for s := range p.Services() {
			require.LessOrEqual(t, s.Slots(), s.Connections())
		}
	})
}

// Guards against nodes that saw the same documents in another order and have
// different policies in force.
func TestMergeIgnoresOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type document struct {
			overlay bool
			rev     int
			src     string
		}
		documents := make([]document, rapid.IntRange(2, 8).Draw(t, "documents"))
		for i := range documents {
			if i%2 == 0 {
				documents[i] = document{rev: i, src: encode(t, drawBase(t))}
				continue
			}
			documents[i] = document{overlay: true, rev: i, src: encode(t, drawOverlay(t))}
		}
		arrive := func(label string) string {
			var base *Base
			var overlay *Overlay
			var p *Policy
			baseRev, overlayRev := -1, -1
			for _, d := range rapid.Permutation(documents).Draw(t, label) {
				switch {
				case d.overlay && d.rev > overlayRev:
					overlay, overlayRev = mustOverlay(t, d.src), d.rev
				case !d.overlay && d.rev > baseRev:
					base, baseRev = mustBase(t, d.src), d.rev
				}
				if base != nil {
					p, _ = Merge(base, overlay)
				}
			}
			return show(t, p)
		}
		require.Equal(t, arrive("first"), arrive("second"))
	})
}

// Guards against shipped documents that a node refuses, and against call graphs
// that are too flat to exercise deep calls.
func TestDeployments(t *testing.T) {
	for deployment, site := range map[string]string{"council": "canterbury", "collective": "ogun-west"} {
		read := func(name string) string {
			src, err := os.ReadFile(filepath.Join("..", "deploy", deployment, name+".jsonc"))
			require.NoError(t, err)
			return string(src)
		}
		p, warnings := Merge(mustBase(t, read("base")), mustOverlay(t, read(site)))
		require.Empty(t, warnings)
		require.Equal(t, site, p.Site())
		services := make(map[string]bool)
		for s := range p.Services() {
			for o := range s.Operations() {
				for _, to := range o.Subtree() {
					services[to.Service()] = true
				}
			}
		}
		require.Len(t, services, 4)
	}
}

// Guards against permits or levels that are computed over the wrong operations.
func TestSubtree(t *testing.T) {
	src, err := os.ReadFile("../deploy/council/base.jsonc")
	require.NoError(t, err)
	p, _ := Merge(mustBase(t, string(src)), nil)
	target, err := frame.ParseTarget("bookings/book")
	require.NoError(t, err)
	o, ok := p.Operation(target)
	require.True(t, ok)
	require.Equal(t, "[bookings/book lanefinder/lookup leagueboard/record leagueboard/fixtures ladder/enter ladder/rank]",
		fmt.Sprint(o.Subtree()))
}

// Guards against a document within the size limit whose subtrees take gigabytes.
func TestSubtreeIsBounded(t *testing.T) {
	operations := object{}
	var calls []string
	for i := range maxSubtree {
		operations[fmt.Sprintf("leaf%d", i)] = object{"class": "c", "idempotent": true}
		calls = append(calls, fmt.Sprintf("a/leaf%d", i))
	}
	operations["root"] = object{"class": "c", "idempotent": true, "calls": calls}
	src, err := json.Marshal(object{"classes": []string{"c"}, "services": object{"a": object{"slots": 1, "operations": operations}}})
	require.NoError(t, err)
	_, err = ParseBase("base", src)
	require.ErrorContains(t, err, "/services/a/operations/root/calls: more than 512 operations are reachable from here")
	delete(operations, "leaf0")
	operations["root"].(object)["calls"] = calls[1:]
	src, err = json.Marshal(object{"classes": []string{"c"}, "services": object{"a": object{"slots": 1, "operations": operations}}})
	require.NoError(t, err)
	mustBase(t, string(src))
}

// Guards against defaults in the schema, and so in the reference, that differ
// from those in the program.
func TestDefaults(t *testing.T) {
	p, _ := Merge(mustBase(t, `{"classes": ["c"], "services": {"a": {"slots": 9, "operations": {"o": {"class": "c", "idempotent": true}}}}}`), nil)
	var printed, schema object
	require.NoError(t, json.Unmarshal([]byte(show(t, p)), &printed))
	require.NoError(t, json.Unmarshal(baseSource, &schema))
	service := printed["services"].(object)["a"].(object)
	require.EqualValues(t, 4*9, service["connections"])
	require.EqualValues(t, 9/2, service["queue"])
	defs := schema["$defs"].(object)
	for _, c := range []struct{ values, fields object }{
		{printed, schema["properties"].(object)},
		{service, defs["service"].(object)["properties"].(object)},
		{service["operations"].(object)["o"].(object), defs["operation"].(object)["properties"].(object)},
	} {
		for name, f := range c.fields {
			if want, ok := f.(object)["default"]; ok && name != "connections" && name != "queue" {
				require.Equal(t, want, c.values[name], name)
			}
		}
	}
}

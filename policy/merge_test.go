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

// setOptional sets a field in some of the generated documents.
func setOptional[V any](t *rapid.T, o object, field string, g *rapid.Generator[V]) {
	if rapid.Bool().Draw(t, "has "+field) {
		o[field] = g.Draw(t, field)
	}
}

// drawOverridableFields generates the fields of a service that both documents
// have. Slots and connections are few, so that they often conflict when merged.
func drawOverridableFields(t *rapid.T) object {
	o := object{}
	setOptional(t, o, "slots", rapid.IntRange(1, 20))
	minConnections, _ := o["slots"].(int)
	setOptional(t, o, "connections", rapid.IntRange(max(minConnections, 1), 25))
	setOptional(t, o, "queue", rapid.IntRange(0, 9))
	setOptional(t, o, "share", rapid.Float64Range(0.25, 1))
	setOptional(t, o, "spill", rapid.Float64Range(0, 2))
	return o
}

func drawRetryFields(t *rapid.T, o object) {
	setOptional(t, o, "tries", rapid.IntRange(0, 16))
	setOptional(t, o, "ratio", rapid.Float64Range(0, 1))
	setOptional(t, o, "burst", rapid.IntRange(0, 1000))
}

// drawBase generates a valid base. Operations call only later ones, and are
// idempotent only if these are.
func drawBase(t *rapid.T) object {
	o := object{"classes": []string{"booking", "browse"}, "depth": 16}
	drawRetryFields(t, o)
	setOptional(t, o, "control", rapid.SampledFrom([]string{"full", "none", "fixed", "ratio"}))
	setOptional(t, o, "zones", rapid.Just([]string{"z1", "z2"}))
	names := []string{"s1", "s2", "s3"}[:rapid.IntRange(1, 3).Draw(t, "services")]
	services := object{}
	var later []string
	nonIdempotent := make(map[string]bool)
	for _, name := range slices.Backward(names) {
		s := drawOverridableFields(t)
		if s["slots"] == nil {
			s["slots"] = 1
		}
		ops := object{}
		for _, op := range []string{"b", "a"} {
			calls := slices.Clone(rapid.SliceOfDistinct(rapid.SampledFrom(append(later, "")), rapid.ID).Draw(t, "calls"))
			calls = slices.DeleteFunc(calls, func(s string) bool { return s == "" })
			target := name + "/" + op
			nonIdempotent[target] = rapid.Bool().Draw(t, "unsafe") ||
				slices.ContainsFunc(calls, func(s string) bool { return nonIdempotent[s] })
			ops[op] = object{
				"class":      rapid.SampledFrom([]string{"booking", "browse"}).Draw(t, "class"),
				"idempotent": !nonIdempotent[target], "calls": calls,
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
		setOptional(t, services, name, rapid.Custom(drawOverridableFields))
	}
	for _, name := range []string{"z1", "unknown"} {
		setOptional(t, zones, name, rapid.Just(object{"delay": "2ms", "cost": 1.5}))
	}
	o := object{"site": "s", "services": services, "zones": zones}
	drawRetryFields(t, o)
	return o
}

// encodeShuffled encodes a document with the fields in random order.
func encodeShuffled(t *rapid.T, v any) string {
	o, ok := v.(object)
	if !ok {
		b, err := json.Marshal(v)
		require.NoError(t, err)
		return string(b)
	}
	var parts []string
	for _, k := range rapid.Permutation(slices.Sorted(maps.Keys(o))).Draw(t, "order") {
		parts = append(parts, fmt.Sprintf("%q: %s, // %s\n", k, encodeShuffled(t, o[k]), k))
	}
	return "{" + strings.Join(parts, "") + "}"
}

func mustParseBase(t require.TestingT, src string) *Base {
	b, err := ParseBase("base", []byte(src))
	require.NoError(t, err)
	return b
}

func mustParseOverlay(t require.TestingT, src string) *Overlay {
	o, err := ParseOverlay("overlay", []byte(src))
	require.NoError(t, err)
	return o
}

func encodePolicy(t require.TestingT, p *Policy) string {
	b, err := p.MarshalJSON()
	require.NoError(t, err)
	return string(b)
}

// expectedWarnings counts entries without effect and services with reduced slots.
func expectedWarnings(base, overlay object) int {
	n := 0
	declared := base["services"].(object)
	for name, v := range overlay["services"].(object) {
		s, ok := declared[name].(object)
		if !ok {
			n++
			continue
		}
		merged := maps.Clone(s)
		maps.Copy(merged, v.(object))
		if c, ok := merged["connections"].(int); ok && merged["slots"].(int) > c {
			n++
		}
	}
	if _, ok := overlay["zones"].(object)["unknown"]; ok && base["zones"] != nil {
		n++
	}
	return n
}

// Guards against pairs of valid documents that cannot be merged, give an invalid
// policy, or give a policy that depends on the order of fields.
func TestMergeIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, overlay := drawBase(t), drawOverlay(t)
		p, warnings := Merge(mustParseBase(t, encodeShuffled(t, base)), mustParseOverlay(t, encodeShuffled(t, overlay)))
		require.Len(t, warnings, expectedWarnings(base, overlay), "%v", warnings)
		encoded := encodePolicy(t, p)
		remerged, _ := Merge(mustParseBase(t, encodeShuffled(t, base)), mustParseOverlay(t, encodeShuffled(t, overlay)))
		require.Equal(t, encoded, encodePolicy(t, remerged))

		// The encoded policy without site and zones is itself a valid base that
		// gives the same policy.
		var fields object
		require.NoError(t, json.Unmarshal([]byte(encoded), &fields))
		delete(fields, "site")
		delete(fields, "zones")
		src, err := json.Marshal(fields)
		require.NoError(t, err)
		reparsed, warnings := Merge(mustParseBase(t, string(src)), nil)
		require.Empty(t, warnings)
		require.JSONEq(t, string(src), encodePolicy(t, reparsed))
		for s := range p.Services() {
			require.LessOrEqual(t, s.Slots(), s.MaxConnections())
		}
	})
}

// Guards against different active policies at nodes that received the same
// documents in different orders.
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
				documents[i] = document{rev: i, src: encodeShuffled(t, drawBase(t))}
				continue
			}
			documents[i] = document{overlay: true, rev: i, src: encodeShuffled(t, drawOverlay(t))}
		}
		mergeInRandomOrder := func(label string) string {
			var base *Base
			var overlay *Overlay
			var p *Policy
			baseRev, overlayRev := -1, -1
			for _, d := range rapid.Permutation(documents).Draw(t, label) {
				switch {
				case d.overlay && d.rev > overlayRev:
					overlay, overlayRev = mustParseOverlay(t, d.src), d.rev
				case !d.overlay && d.rev > baseRev:
					base, baseRev = mustParseBase(t, d.src), d.rev
				}
				if base != nil {
					p, _ = Merge(base, overlay)
				}
			}
			return encodePolicy(t, p)
		}
		require.Equal(t, mergeInRandomOrder("first"), mergeInRandomOrder("second"))
	})
}

// Guards against shipping invalid documents, and against call graphs that are too
// shallow to exercise deep calls.
func TestDeployments(t *testing.T) {
	for deployment, site := range map[string]string{"council": "canterbury", "collective": "ogun-west"} {
		read := func(name string) string {
			src, err := os.ReadFile(filepath.Join("..", "deploy", deployment, name+".jsonc"))
			require.NoError(t, err)
			return string(src)
		}
		p, warnings := Merge(mustParseBase(t, read("base")), mustParseOverlay(t, read(site)))
		require.Empty(t, warnings)
		require.Equal(t, site, p.Site())
		services := make(map[string]bool)
		for s := range p.Services() {
			for o := range s.Operations() {
				for _, to := range o.Reachable() {
					services[to.Service()] = true
				}
			}
		}
		require.Len(t, services, 4)
	}
}

// Guards against computing permits or levels over the wrong operations.
func TestReachable(t *testing.T) {
	src, err := os.ReadFile("../deploy/council/base.jsonc")
	require.NoError(t, err)
	p, _ := Merge(mustParseBase(t, string(src)), nil)
	target, err := frame.ParseTarget("bookings/book")
	require.NoError(t, err)
	o, ok := p.Operation(target)
	require.True(t, ok)
	require.Equal(t, "[bookings/book lanefinder/lookup leagueboard/record leagueboard/fixtures ladder/enter ladder/rank]",
		fmt.Sprint(o.Reachable()))
}

// Guards against a document within the size limit whose lists of reachable
// operations take gigabytes.
func TestReachableIsBounded(t *testing.T) {
	operations := object{}
	var calls []string
	for i := range maxReachable {
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
	mustParseBase(t, string(src))
}

// Guards against defaults in the schema and the generated reference that differ
// from those in the code.
func TestDefaults(t *testing.T) {
	p, _ := Merge(mustParseBase(t, `{"classes": ["c"], "services": {"a": {"slots": 9, "operations": {"o": {"class": "c", "idempotent": true}}}}}`), nil)
	var encoded, schema object
	require.NoError(t, json.Unmarshal([]byte(encodePolicy(t, p)), &encoded))
	require.NoError(t, json.Unmarshal(baseSchemaSource, &schema))
	service := encoded["services"].(object)["a"].(object)
	require.EqualValues(t, 4*9, service["connections"])
	require.EqualValues(t, 9/2, service["queue"])
	defs := schema["$defs"].(object)
	for _, c := range []struct{ values, fields object }{
		{encoded, schema["properties"].(object)},
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

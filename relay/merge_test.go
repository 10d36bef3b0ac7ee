package relay

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// permutations returns all orders of the documents.
func permutations(docs []Document) [][]Document {
	if len(docs) <= 1 {
		return [][]Document{docs}
	}
	var out [][]Document
	for i := range docs {
		rest := append(append([]Document(nil), docs[:i]...), docs[i+1:]...)
		for _, p := range permutations(rest) {
			out = append(out, append([]Document{docs[i]}, p...))
		}
	}
	return out
}

// parseNumber parses a document whose text is one number.
func parseNumber(d Document) (int, error) {
	if d.rev == 0 {
		return 0, nil
	}
	return strconv.Atoi(string(d.bytes))
}

// acceptByPair models the alternative that decision 0005 rejects: a document is
// accepted only if it is valid together with the other active document, here if
// the overlay's number does not exceed the base's.
func acceptByPair(order []Document) (rev string) {
	var base, overlay Document
	for _, d := range order {
		b, o := base, overlay
		if d.key == KeyBase && d.rev > b.rev {
			b = d
		} else if d.key != KeyBase && d.rev > o.rev {
			o = d
		}
		limit, baseErr := parseNumber(b)
		value, overlayErr := parseNumber(o)
		if baseErr == nil && overlayErr == nil && value <= limit {
			base, overlay = b, o
		}
	}
	return fmt.Sprintf("%d.%d", base.rev, overlay.rev)
}

// acceptPerDocument offers the documents to a store whose merge clamps the
// overlay's number to the base's. It returns the revision pair and merged number.
func acceptPerDocument(order []Document) (state string) {
	merged := 0
	s := NewStore(StoreOptions{
		Site:  "a",
		Check: func(d Document) error { _, err := parseNumber(d); return err },
		Apply: func(c Change) {
			limit, _ := parseNumber(c.Base)
			value, _ := parseNumber(c.Overlay)
			merged = min(value, limit)
		},
	})
	for _, d := range order {
		_, _ = s.Offer(d)
	}
	return fmt.Sprintf("%s merged %d", s.RevisionPair(), merged)
}

// Guards against nodes that do not converge after receiving the same documents in
// different orders. Decision 0005 refers to the figures that the test prints.
func TestOrderDoesNotMatter(t *testing.T) {
	docs := []Document{
		NewDocument(KeyBase, 1, []byte("10")), NewDocument(KeyBase, 2, []byte("5")),
		NewDocument(KeyBase, 3, []byte("not a number")),
		NewDocument(OverlayKey("a"), 1, []byte("4")), NewDocument(OverlayKey("a"), 2, []byte("8")),
	}
	byPair, byDocument := map[string]int{}, map[string]int{}
	for _, order := range permutations(docs) {
		byPair[acceptByPair(order)]++
		byDocument[acceptPerDocument(order)]++
	}
	t.Logf("pair-wise: %v; per document: %v", byPair, byDocument)
	require.Equal(t, map[string]int{"2.2 merged 5": 120}, byDocument)
	require.Greater(t, len(byPair), 1, "the model shows why acceptance is per document")
}

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

// number reads a document whose text is one number.
func number(d Document) (int, error) {
	if d.rev == 0 {
		return 0, nil
	}
	return strconv.Atoi(string(d.bytes))
}

// pairwise is acceptance as decision 0005 rejects it: a document is accepted only
// if the pair that it makes with the other document in force is valid, here if
// the overlay's number does not exceed the base's.
func pairwise(order []Document) (rev string) {
	var base, overlay Document
	for _, d := range order {
		b, o := base, overlay
		if d.key == KeyBase && d.rev > b.rev {
			b = d
		} else if d.key != KeyBase && d.rev > o.rev {
			o = d
		}
		limit, errBase := number(b)
		value, errOverlay := number(o)
		if errBase == nil && errOverlay == nil && value <= limit {
			base, overlay = b, o
		}
	}
	return fmt.Sprintf("%d.%d", base.rev, overlay.rev)
}

// perDocument is acceptance by the store, with a merge that clamps the overlay's
// number to the base's. It returns the revision pair and the merged number.
func perDocument(order []Document) (state string) {
	merged := 0
	s := NewStore(StoreOptions{
		Site:  "a",
		Check: func(d Document) error { _, err := number(d); return err },
		Apply: func(c Change) {
			limit, _ := number(c.Base)
			value, _ := number(c.Overlay)
			merged = min(value, limit)
		},
	})
	for _, d := range order {
		_, _ = s.Offer(d)
	}
	return fmt.Sprintf("%s merged %d", s.Rev(), merged)
}

// Guards against nodes that saw the same documents in another order and stay
// apart. Decision 0005 refers to the figures that it prints.
func TestOrderDoesNotMatter(t *testing.T) {
	docs := []Document{
		NewDocument(KeyBase, 1, []byte("10")), NewDocument(KeyBase, 2, []byte("5")),
		NewDocument(KeyBase, 3, []byte("not a number")),
		NewDocument(OverlayKey("a"), 1, []byte("4")), NewDocument(OverlayKey("a"), 2, []byte("8")),
	}
	byPair, byDocument := map[string]int{}, map[string]int{}
	for _, order := range permutations(docs) {
		byPair[pairwise(order)]++
		byDocument[perDocument(order)]++
	}
	t.Logf("pair-wise: %v; per document: %v", byPair, byDocument)
	require.Equal(t, map[string]int{"2.2 merged 5": 120}, byDocument)
	require.Greater(t, len(byPair), 1, "the model shows why acceptance is per document")
}

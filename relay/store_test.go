package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var errBadDocument = errors.New("bad document")

// checkNotBad rejects documents that start with "bad".
func checkNotBad(d Document) error {
	if bytes.HasPrefix(d.Bytes(), []byte("bad")) {
		return errBadDocument
	}
	return nil
}

// Guards against a document that returns to a lower revision, is replaced by
// another one of the same revision, or is applied out of order.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var applied []Change
		s := NewStore(StoreOptions{Site: "a", Check: checkNotBad, Apply: func(c Change) { applied = append(applied, c) }})
		model := map[string]Document{}
		rejected := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			key := rapid.SampledFrom([]string{KeyBase, OverlayKey("a"), KeyVMs, OverlayKey("b")}).Draw(t, "key")
			rev := rapid.Uint64Range(0, 6).Draw(t, "rev")
			text := rapid.SampledFrom([]string{"one", "two", "bad"}).Draw(t, "text")
			d := NewDocument(key, rev, []byte(text))
			got, err := s.Offer(d)
			old := model[key]
			switch {
			case key == OverlayKey("b") || rev == 0:
				require.Equal(t, Ignored, got)
			case rev < old.rev:
				require.Equal(t, Older, got)
			case rev == old.rev && d.digest == old.digest:
				require.Equal(t, Known, got)
			case rev == old.rev:
				require.Equal(t, Conflict, got)
			case text == "bad":
				require.Equal(t, Rejected, got)
				require.ErrorIs(t, err, errBadDocument)
				rejected[key] = max(rejected[key], rev)
				require.Equal(t, rejected[key], s.Rejection(key).Rev())
				require.Equal(t, errBadDocument.Error(), s.Rejection(key).Reason())
			default:
				require.Equal(t, Accepted, got)
				model[key] = d
				last := applied[len(applied)-1]
				require.Equal(t, d, last.Changed)
				require.Equal(t, s.RevisionPair(), last.RevisionPair())
			}
			require.Equal(t, model[key], s.Current(key))
			require.Equal(t, max(model[key].rev, rejected[key]), s.HighestSeen(key))
		}
		require.Equal(t, Revs{Base: model[KeyBase].rev, Overlay: model[OverlayKey("a")].rev, VMs: model[KeyVMs].rev}, s.Revs())
		require.Len(t, applied, int(s.Counts().Accepted))
	})
}

// vmListText returns a VM list in JSON with about 150 bytes per entry.
func vmListText(entries int, mark func(i int) string) []byte {
	var b strings.Builder
	b.WriteString("{\"vms\":[\n")
	for i := range entries {
		fmt.Fprintf(&b, `{"name":"vm-%04d","zone":"zone-%02d","region":"region-%d","service":"service-%03d",`, i, i%22, i%7, i%240)
		fmt.Fprintf(&b, `"call":"10.%d.%d.%d:7001","control":"10.%d.%d.%d:7002"%s},`+"\n", i%22, i/250, i%250, i%22, i/250, i%250, mark(i))
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

func noMark(int) string { return "" }

// Guards against a document that changes in transit, and against a delta that
// applies to a base other than the sender's.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{0, 3, 140, 300}).Draw(t, "entries")
		old := NewDocument(KeyVMs, 1, vmListText(n, noMark))
		marks := rapid.SliceOfN(rapid.IntRange(0, max(n-1, 0)), 0, 5).Draw(t, "marks")
		dropped := rapid.IntRange(0, len(old.bytes)/4).Draw(t, "drop")
		src := vmListText(n, func(i int) string {
			for _, m := range marks {
				if m == i {
					return `,"leaving":true`
				}
			}
			return ""
		})
		d := NewDocument(KeyVMs, 2, src[dropped:])
		for _, base := range []Document{old, {}} {
			enc := Encode(d, base)
			got, err := Decode(enc, base)
			require.NoError(t, err)
			require.Equal(t, d, got)
			_, err = Decode(enc, NewDocument(KeyVMs, base.rev+1, nil))
			require.ErrorIs(t, err, errMissingBase)
			if n > 0 && base.rev != 0 {
				changed := append([]byte("x"), old.bytes...)
				got, err = Decode(enc, NewDocument(KeyVMs, 1, changed))
				require.True(t, err != nil || bytes.Equal(got.bytes, d.bytes), "a different base gives a different document")
			}
			enc.Data = append([]byte(nil), enc.Data...)
			enc.Data[rapid.IntRange(0, len(enc.Data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			if got, err := Decode(enc, base); err == nil {
				require.Equal(t, d, got, "undetected corruption must not change the document")
			}
		}
	})
}

// Guards against encoded documents that cause unbounded allocation or reads.
func TestDecodeBounds(t *testing.T) {
	for _, enc := range []EncodedDocument{
		{Size: -1},
		{Size: 1 << 40},
		{Size: 10, Data: nil},
		{Size: 10, Data: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0}},
		{Size: 10, Data: []byte{0, 0, 200, 1}},
	} {
		_, err := Decode(enc, Document{})
		require.Error(t, err)
	}
}

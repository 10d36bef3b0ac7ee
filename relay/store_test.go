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

var errBad = errors.New("bad document")

// checkText accepts every document but those that start with "bad".
func checkText(d Document) error {
	if bytes.HasPrefix(d.Bytes(), []byte("bad")) {
		return errBad
	}
	return nil
}

// Guards against a document that goes back, is replaced by another one of the
// same revision, or is put into force out of order.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var applied []Change
		s := NewStore(StoreOptions{Site: "a", Check: checkText, Apply: func(c Change) { applied = append(applied, c) }})
		model := map[string]Document{}
		refused := map[string]uint64{}
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
				require.Equal(t, Refused, got)
				require.ErrorIs(t, err, errBad)
				refused[key] = max(refused[key], rev)
				require.Equal(t, refused[key], s.Refusal(key).Rev())
				require.Equal(t, errBad.Error(), s.Refusal(key).Reason())
			default:
				require.Equal(t, Accepted, got)
				model[key] = d
				last := applied[len(applied)-1]
				require.Equal(t, d, last.Changed)
				require.Equal(t, s.Rev(), last.Rev())
			}
			require.Equal(t, model[key], s.Current(key))
			require.Equal(t, max(model[key].rev, refused[key]), s.Seen(key))
		}
		require.Equal(t, Revs{Base: model[KeyBase].rev, Overlay: model[OverlayKey("a")].rev, VMs: model[KeyVMs].rev}, s.Revs())
		require.Len(t, applied, int(s.Counts().Accepted))
	})
}

// text returns a JSON list of about 150 bytes per entry.
func text(entries int, mark func(i int) string) []byte {
	var b strings.Builder
	b.WriteString("{\"vms\":[\n")
	for i := range entries {
		fmt.Fprintf(&b, `{"name":"vm-%04d","zone":"zone-%02d","region":"region-%d","service":"service-%03d",`, i, i%22, i%7, i%240)
		fmt.Fprintf(&b, `"call":"10.%d.%d.%d:7001","control":"10.%d.%d.%d:7002"%s},`+"\n", i%22, i/250, i%250, i%22, i/250, i%250, mark(i))
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

func plain(int) string { return "" }

// Guards against a document that changes on the way, and against a delta that
// applies to another base than the sender's.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{0, 3, 140, 300}).Draw(t, "entries")
		old := NewDocument(KeyVMs, 1, text(n, plain))
		marks := rapid.SliceOfN(rapid.IntRange(0, max(n-1, 0)), 0, 5).Draw(t, "marks")
		drop := rapid.IntRange(0, len(old.bytes)/4).Draw(t, "drop")
		src := text(n, func(i int) string {
			for _, m := range marks {
				if m == i {
					return `,"leaving":true`
				}
			}
			return ""
		})
		d := NewDocument(KeyVMs, 2, src[drop:])
		for _, against := range []Document{old, {}} {
			p := Pack(d, against)
			got, err := Unpack(p, against)
			require.NoError(t, err)
			require.Equal(t, d, got)
			_, err = Unpack(p, NewDocument(KeyVMs, against.rev+1, nil))
			require.ErrorIs(t, err, errBase)
			if n > 0 && against.rev != 0 {
				changed := append([]byte("x"), old.bytes...)
				got, err = Unpack(p, NewDocument(KeyVMs, 1, changed))
				require.True(t, err != nil || bytes.Equal(got.bytes, d.bytes), "another base gives another document")
			}
			p.Data = append([]byte(nil), p.Data...)
			p.Data[rapid.IntRange(0, len(p.Data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			if got, err := Unpack(p, against); err == nil {
				require.Equal(t, d, got, "damage that is not noticed must not matter")
			}
		}
	})
}

// Guards against a parcel that makes the receiver reserve or read without bound.
func TestUnpackBounds(t *testing.T) {
	for _, p := range []Parcel{
		{Size: -1},
		{Size: 1 << 40},
		{Size: 10, Data: nil},
		{Size: 10, Data: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0}},
		{Size: 10, Data: []byte{0, 0, 200, 1}},
	} {
		_, err := Unpack(p, Document{})
		require.Error(t, err)
	}
}

package mesh

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

// closed notes that a stream was closed.
type closed struct {
	io.Reader
	done bool
}

func (c *closed) Close() error {
	c.done = true
	return nil
}

// TestDiscard guards against slots that stay taken by an answer which nobody
// reads: one that a repeat replaced, and one with a status that would promise
// that the request has not run.
func TestDiscard(t *testing.T) {
	stream := &closed{Reader: strings.NewReader("x")}
	merge(result{outcome: frame.Answered, answer: &answer{status: 500, stream: stream}}, lost(frame.ReasonLost, ""), false)
	require.True(t, stream.done)
	stream = &closed{Reader: strings.NewReader("x")}
	e := newEntry(entryOptions{leaving: func() bool { return false }})
	w := httptest.NewRecorder()
	e.write(w, &call{id: "one"}, result{outcome: frame.Answered, answer: &answer{status: 503, stream: stream, length: 1}})
	require.True(t, stream.done)
	require.Equal(t, 502, w.Code, "it has run")
}

// TestMergeRefusal guards against "not run" for a request that may have run
// before another node refused it.
func TestMergeRefusal(t *testing.T) {
	before := lost(frame.ReasonLost, "")
	require.Equal(t, before, merge(before, refused(frame.ReasonFull, ""), true))
	require.Equal(t, frame.NotRun, merge(refused(frame.ReasonFull, ""), refused(frame.ReasonDial, ""), false).outcome)
}

// TestLimited guards against a body beyond the limit that passes as a whole one.
func TestLimited(t *testing.T) {
	_, err := io.ReadAll(&limited{in: strings.NewReader("12345"), left: 4})
	require.True(t, errors.Is(err, errTooLarge))
	text, err := io.ReadAll(&limited{in: strings.NewReader("12345"), left: 5})
	require.NoError(t, err)
	require.Equal(t, "12345", string(text))
}

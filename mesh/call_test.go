package mesh

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/frame"
)

// closeRecorder records that a stream was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// Guards against slots leaked by responses that nobody reads: one replaced by a
// retry, and one whose status wrongly claims that the request has not run.
func TestDiscard(t *testing.T) {
	stream := &closeRecorder{Reader: strings.NewReader("x")}
	merge(result{outcome: frame.Answered, response: &response{status: 500, stream: stream}}, unknownOutcome(frame.ReasonLost, ""), false)
	require.True(t, stream.closed)
	stream = &closeRecorder{Reader: strings.NewReader("x")}
	in := newIngress(ingressOptions{leaving: func() bool { return false }})
	w := httptest.NewRecorder()
	in.writeResult(w, &call{id: "one"}, result{outcome: frame.Answered, response: &response{status: 503, stream: stream, length: 1}})
	require.True(t, stream.closed)
	require.Equal(t, 502, w.Code, "the request has run")
}

// Guards against reporting "not run" for a request that may have run at one
// node before another node refused it.
func TestMergeRefusal(t *testing.T) {
	prev := unknownOutcome(frame.ReasonLost, "")
	require.Equal(t, prev, merge(prev, refused(frame.ReasonFull, ""), true))
	require.Equal(t, frame.NotRun, merge(refused(frame.ReasonFull, ""), refused(frame.ReasonDial, ""), false).outcome)
}

// Guards against a body beyond the limit being accepted or truncated.
func TestLimitedReader(t *testing.T) {
	_, err := io.ReadAll(&limitedReader{in: strings.NewReader("12345"), remaining: 4})
	require.True(t, errors.Is(err, errBodyTooLarge))
	text, err := io.ReadAll(&limitedReader{in: strings.NewReader("12345"), remaining: 5})
	require.NoError(t, err)
	require.Equal(t, "12345", string(text))
}

// Guards against a route without a timeout cutting off callers that state a longer
// time than the default, and against a stated time that overflows.
func TestTimeoutOf(t *testing.T) {
	for _, tt := range []struct {
		stated string
		route  time.Duration
		want   time.Duration
	}{
		{"", 0, defaultTimeout},
		{"120000", 0, 2 * time.Minute},
		{"1e300", 0, maxTimeout},
		{"NaN", 0, defaultTimeout},
		{"-1", time.Second, time.Second},
		{"", time.Second, time.Second},
		{"5000", time.Second, time.Second},
		{"250.5", time.Second, 250500 * time.Microsecond},
		{"0", time.Second, 0},
	} {
		h := http.Header{}
		h.Set("X-Deadline-Ms", tt.stated)
		require.Equal(t, tt.want, timeoutOf(h, tt.route), "%q %s", tt.stated, tt.route)
	}
}

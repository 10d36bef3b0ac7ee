package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against writing lines that are not JSON or whose content differs from
// that of logrus.JSONFormatter.
func TestLineFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.OneOf(
			rapid.String().AsAny(), rapid.Bool().AsAny(), rapid.Int().AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(),
			rapid.Float64Range(-1e9, 1e9).AsAny(), rapid.Just(any(errors.New("quote \" and\nline"))),
			rapid.Just(any(map[string]int{"b": 1, "a": 2})), rapid.Just[any](nil),
		)
		name := rapid.StringMatching(`[a-z"\\é]{1,8}`).Filter(func(s string) bool {
			return s != "time" && s != "level" && s != "msg"
		})
		e := &logrus.Entry{
			Data: logrus.Fields(rapid.MapOfN(name, value, 0, 2*maxStackKeys).Draw(t, "fields")),
			Time: time.Unix(rapid.Int64Range(0, 4e9).Draw(t, "time"), 5).UTC(), Level: logrus.WarnLevel,
			Message: rapid.String().Draw(t, "msg"), Buffer: &bytes.Buffer{},
		}
		got, err := lineFormatter{}.Format(e)
		require.NoError(t, err)
		want, err := (&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}).Format(e)
		require.NoError(t, err)
		require.True(t, bytes.HasSuffix(got, []byte("}\n")) && bytes.Count(got, []byte("\n")) == 1, "%q", got)
		var gotFields, wantFields map[string]any
		require.NoError(t, json.Unmarshal(got, &gotFields), "%q", got)
		require.NoError(t, json.Unmarshal(want, &wantFields))
		require.Equal(t, wantFields, gotFields)
	})
}

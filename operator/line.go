package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// lineFormatter encodes an entry as one line of JSON with sorted keys. Unlike
// logrus.JSONFormatter it needs no reflection for common types, because every
// request logs two lines.
type lineFormatter struct{}

const (
	// maxStackKeys is the number of keys that are sorted without an allocation.
	maxStackKeys = 32
	// initialLineSize is a size in bytes that most lines do not exceed.
	initialLineSize = 640
	// maxValueLength is the length in bytes at which a value is cut. Clients choose some of
	// the values, and the lines that wait for a slow reader are held in memory.
	maxValueLength = 1 << 10
)

// Format implements logrus.Formatter.
func (lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	var stackKeys [maxStackKeys]string
	keys := stackKeys[:0]
	for k := range e.Data {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	b := make([]byte, 0, initialLineSize)
	b = append(b, `{"time":"`...)
	b = e.Time.AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","level":"`...)
	b = append(b, e.Level.String()...)
	b = append(b, `","msg":`...)
	b = appendString(b, e.Message)
	for _, k := range keys {
		b = append(b, ',')
		b = appendString(b, k)
		b = append(b, ':')
		var err error
		if b, err = appendValue(b, e.Data[k]); err != nil {
			return nil, err
		}
	}
	return append(b, '}', '\n'), nil
}

func appendValue(b []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case string:
		return appendString(b, cutValue(v)), nil
	case bool:
		return strconv.AppendBool(b, v), nil
	case int:
		return strconv.AppendInt(b, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(b, v, 10), nil
	case uint64:
		return strconv.AppendUint(b, v, 10), nil
	case error:
		return appendString(b, cutValue(v.Error())), nil
	}
	src, err := json.Marshal(v)
	return append(b, src...), err
}

// cutValue cuts a value that is too long, and says so.
func cutValue(s string) string {
	if len(s) <= maxValueLength {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueLength], "") + "... (" + strconv.Itoa(len(s)) + " bytes)"
}

// appendString appends s as a JSON string. It copies s if nothing needs an escape.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			// Encoding a string cannot fail.
			src, _ := json.Marshal(s)
			return append(b, src...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reading a field into the wrong setting, and against defaults
// that differ from those of the schema.
func TestParse(t *testing.T) {
	const requiredFields = `"vm": "a1", "zone": "z", "region": "r", "site": "s", "service": "a",
		"listen": {"caller": "127.0.0.1:1", "call": "127.0.0.1:2", "control": "127.0.0.1:3", "outbound": "127.0.0.1:4", "operator": "[::1]:5"},
		"backend": "127.0.0.1:6", "platform": "http://127.0.0.1:7", // the stand-in`
	s, err := Parse("f", []byte("{"+requiredFields+"\n}"))
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "z", "r", "s", "a"}, []string{s.VM(), s.Zone(), s.Region(), s.Site(), s.Service()})
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "[::1]:5", "127.0.0.1:6", "http://127.0.0.1:7"},
		[]string{s.CallerAddr(), s.CallAddr(), s.ControlAddr(), s.OutboundAddr(), s.OperatorAddr(), s.BackendAddr(), s.PlatformURL()})
	var doc struct {
		Properties map[string]struct {
			Default any `json:"default"`
		} `json:"properties"`
	}
	require.NoError(t, json.Unmarshal(schemaSource, &doc))
	require.Equal(t, doc.Properties["log"].Default, s.LogLevel())
	require.EqualValues(t, doc.Properties["memory"].Default, s.BodyMemory())
	require.Equal(t, doc.Properties["linger"].Default, s.DrainDelay().String())
	require.Equal(t, doc.Properties["drain"].Default, s.DrainTimeout().String())
	require.Empty(t, s.ZoneDelays())

	s, err = Parse("f", []byte("{"+requiredFields+`
		"log": "debug", "linger": "0s", "drain": "5s", "memory": 2097152, "delays": {"z": "3.5ms"}}`))
	require.NoError(t, err)
	require.Equal(t, "debug", s.LogLevel())
	require.Zero(t, s.DrainDelay())
	require.Equal(t, 5*time.Second, s.DrainTimeout())
	require.EqualValues(t, 2<<20, s.BodyMemory())
	require.Equal(t, map[string]time.Duration{"z": 3500 * time.Microsecond}, s.ZoneDelays())
}

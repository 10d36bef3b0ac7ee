package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validMesh = `{
  // one node
  "vm": "vm-1", "ip": "10.0.0.8", "zone": "a", "region": "r", "zones": {"a": "r"}, "service": "s",
  "listen": {"outbound": "10.0.0.8:1", "ready": "10.0.0.8:2", "operator": "10.0.0.8:3"},
  "ports": [7620, 7635], "backend": "10.0.0.8:8301", "store": "10.200.1.7:8309",
  "limits": {"memory": 284, "cores": 1}, "bounds": {"grace": 6, "ratio": 0.2, "slack": 48},
}`

// Guards against reading a field into the wrong setting.
func TestMesh(t *testing.T) {
	m, err := ParseMesh("mesh.jsonc", []byte(validMesh))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.8:3", m.OperatorAddr())
	require.Equal(t, 7620, m.CallPort())
	require.Equal(t, 7621, m.ControlPort())
	require.Equal(t, int64(284<<20), m.MemoryLimit())
	require.Equal(t, "6s", m.Grace().String())
	require.Equal(t, "info", m.LogLevel())
}

// Guards against errors that show only at run time. The message has the
// position and the key.
func TestMeshRejected(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"ip": "10.0.0.8"`, `"ip": "host"`, "mesh.jsonc:3"},
		{`"ports": [7620, 7635]`, `"ports": [7620, 7620]`, "ports"},
		{`"ports": [7620, 7635]`, `"ports": [7620]`, "ports"},
		{`"memory": 284`, `"memory": 1`, "memory"},
		{`"ratio": 0.2`, `"ratio": 2`, "ratio"},
		{`"grace": 6, `, ``, "grace"},
		{`"store": "10.200.1.7:8309"`, `"store": "there"`, "store"},
		{`"vm": "vm-1"`, `"vm": "vm-1", "later": 1`, "later"},
	} {
		require.Contains(t, validMesh, tc.old)
		_, err := ParseMesh("mesh.jsonc", []byte(strings.Replace(validMesh, tc.old, tc.new, 1)))
		require.ErrorContains(t, err, tc.want)
		require.ErrorContains(t, err, "mesh.jsonc:")
	}
}

// Guards against a template with an unknown field.
func TestMeshTemplate(t *testing.T) {
	src, err := os.ReadFile("../deploy/settings.jsonc")
	require.NoError(t, err)
	values := strings.NewReplacer(
		"{{node-id|json}}", `"vm-1"`, "{{ip|json}}", `"10.0.0.8"`, "{{ip}}", "10.0.0.8", "{{zone|json}}", `"a"`,
		"{{region|json}}", `"r"`, "{{zones|json}}", `{"a": "r"}`, "{{service|json}}", `"s"`,
		"{{listen-addrs.outbound|json}}", `"10.0.0.8:1"`, "{{listen-addrs.ready|json}}", `"10.0.0.8:2"`,
		"{{internal-ports|json}}", `[7620,7635]`, "{{app-addr|json}}", `"10.0.0.8:8301"`,
		"{{provider.address|json}}", `"10.200.1.7:8309"`, "{{limits.memory-mb|json}}", "284", "{{limits.cores|json}}", "1",
		"{{limits.max-fds|json}}", "4100",
		"{{bounds.grace-s|json}}", "6", "{{bounds.retry-ratio|json}}", "0.2", "{{bounds.retry-slack|json}}", "48",
	)
	m, err := ParseMesh("settings.jsonc", []byte(values.Replace(string(src))))
	require.NoError(t, err)
	require.Equal(t, 4100, m.Descriptors())
}

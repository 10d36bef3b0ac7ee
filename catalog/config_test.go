package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against matching a route other than the host's route with the longest
// prefix.
func TestMatch(t *testing.T) {
	c := NewConfig(Document{Version: 7, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Priority: 2},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Priority: 0},
		{Name: "other", Host: "b.example", Prefix: "/x/y/", Priority: 1},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/x", ""},
		{"a.example", "/%78/1", ""},
	} {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		require.Equal(t, tc.want, got, "%s %s", tc.host, tc.path)
	}
	smallest, largest := c.Priorities()
	require.Equal(t, 0, smallest)
	require.Equal(t, 2, largest)
}

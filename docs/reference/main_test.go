package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an outdated reference, and against fields without a description.
func TestPageIsCurrent(t *testing.T) {
	want, err := renderPage([]string{
		"../../policy/base.schema.json", "../../policy/overlay.schema.json", "../../settings/settings.schema.json",
		"../../settings/mesh.schema.json",
	})
	require.NoError(t, err)
	got, err := os.ReadFile("../configuration.md")
	require.NoError(t, err)
	require.Equal(t, want, string(got), `run "make generate"`)
}

package jsonc_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"dogwoodhead/jsonc"
	"dogwoodhead/policy"
	"dogwoodhead/settings"
)

// Guards against accepting documents that a node cannot use, and against
// reporting errors at a wrong position.
func TestRejected(t *testing.T) {
	for kind, parse := range map[string]func(file string, src []byte) error{
		"base":     func(file string, src []byte) error { _, err := policy.ParseBase(file, src); return err },
		"overlay":  func(file string, src []byte) error { _, err := policy.ParseOverlay(file, src); return err },
		"settings": func(file string, src []byte) error { _, err := settings.Parse(file, src); return err },
	} {
		archive, err := txtar.ParseFile(filepath.Join("testdata", kind+".txtar"))
		require.NoError(t, err)
		for _, f := range archive.Files {
			t.Run(kind+"/"+f.Name, func(t *testing.T) {
				var want []string
				for line := range strings.Lines(string(f.Data)) {
					if expected, ok := strings.CutPrefix(line, "// want "); ok {
						want = append(want, f.Name+":"+strings.TrimSpace(expected))
					}
				}
				err := parse(f.Name, f.Data)
				var check *jsonc.CheckError
				require.True(t, errors.As(err, &check), "%v", err)
				require.Equal(t, f.Name, check.File())
				require.Equal(t, strings.Join(want, "\n"), err.Error())
			})
		}
	}
}

// Guards against crashing on a document near the size limit, and against
// accepting one above the limit.
func TestLimits(t *testing.T) {
	deep := strings.Repeat("[", jsonc.MaxBytes)
	_, err := policy.ParseBase("deep", []byte(deep))
	require.EqualError(t, err, "deep:1:33: nested deeper than 32 brackets")
	_, err = policy.ParseBase("comment", []byte("/*"+deep[:64]+"*/ // "+deep[:64]+"\n{\"\\\""+deep[:64]+"\": 1}"))
	require.ErrorContains(t, err, "unknown field")
	_, err = policy.ParseBase("large", []byte(deep+" "))
	require.ErrorContains(t, err, "large:1:1: document has 1048577 bytes, at most 1048576 are allowed")
}

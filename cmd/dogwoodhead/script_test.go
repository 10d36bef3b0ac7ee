package main

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dogwoodhead": main})
}

// Guards against changes of exit codes, output streams and message formats that
// operators' scripts rely on.
func TestScripts(t *testing.T) {
	deploy, err := filepath.Abs("../../deploy")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("DEPLOY", deploy)
			return nil
		},
	})
}

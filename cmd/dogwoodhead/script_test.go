package main

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dogwoodhead": main})
}

// Guards against exit codes, streams and message forms that scripts of
// operators rely on.
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

package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"dogwoodhead/policy"
)

// documents holds the parsed files of the commands check and show.
type documents struct {
	base *policy.Base
	// overlay is nil if no file was given.
	overlay *policy.Overlay
}

// readDocuments reads BASE and, if given, OVERLAY. The error joins those of
// both files.
func readDocuments(files []string) (documents, error) {
	var d documents
	var errs []error
	src, err := readFile(files[0], "base document")
	if err == nil {
		d.base, err = policy.ParseBase(files[0], src)
	}
	errs = append(errs, err)
	if len(files) > 1 {
		src, err = readFile(files[1], "overlay document")
		if err == nil {
			d.overlay, err = policy.ParseOverlay(files[1], src)
		}
		errs = append(errs, err)
	}
	return d, errors.Join(errs...)
}

func readFile(file, kind string) ([]byte, error) {
	src, err := os.ReadFile(file)
	return src, eris.Wrapf(err, "read %s", kind)
}

// merge returns the effective policy and prints warnings to stderr.
func (d documents) merge(stderr io.Writer) *policy.Policy {
	p, warnings := policy.Merge(d.base, d.overlay)
	for _, w := range warnings {
		fmt.Fprintf(stderr, "warning: %s\n", w)
	}
	return p
}

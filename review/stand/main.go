//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseFunc runs a case, with the disruption if trouble is set, and returns the
// number of times that the rule was broken.
type caseFunc func(l *lab, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"early": runEarly,
	"pause": runPause,
	"queue": runQueue,
	"child": runChild,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	rec.logf("case %s, disruption: %v", os.Args[1], trouble)
	l, err := newLab(rec)
	if err != nil {
		rec.logf("could not run: %v", err)
		return exitCannotRun
	}
	defer l.close()
	broken, err := cases[os.Args[1]](l, trouble)
	switch {
	case errors.Is(err, errCannotRun) || err != nil:
		rec.logf("could not run: %v", err)
		return exitCannotRun
	case broken > 0:
		rec.logf("result: the rule was broken, %d times", broken)
		return exitBroken
	}
	rec.logf("result: the rule held")
	return exitHeld
}

//go:build review

// Command stand-2 runs the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength bounds the length of a case.
const maxLength = 110 * time.Second

// cases maps a name to a case. trouble is unset for the run without the
// disruption. A case reports whether the rule held.
var cases = map[string]func(l *lab, trouble bool) (held bool, err error){
	"slowread":  slowRead,
	"restarted": restartedDrain,
	"masked":    maskedServers,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	l, err := newLab(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		l.close()
		os.Exit(exitNotRun)
	}()
	held, err := f(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !held:
		l.record.printf("rule broken")
		return exitBroken
	}
	l.record.printf("rule held")
	return exitHeld
}

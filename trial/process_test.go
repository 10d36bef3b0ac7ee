package trial

import (
	"io"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against excusing a process that a signal ended after it had started, and
// against blaming one that had no time to handle the signal.
func TestEndedBeforeStart(t *testing.T) {
	for _, tc := range []struct {
		name, script string
		excused      bool
	}{
		{"before its first line", "exec sleep 60", true},
		{"by SIGHUP before its first line", "kill -HUP $$; exec sleep 60", true},
		{"by SIGHUP after its first line", "echo started; kill -HUP $$; exec sleep 60", false},
		{"by another signal", "kill -KILL $$; exec sleep 60", false},
		{"after its first line", "echo started; exec sleep 60", false},
		{"with a status", "trap 'exit 3' TERM; echo started; while :; do sleep 0.01; done", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, err := startProcess(t.TempDir(), "p", "/bin/sh", "-c", tc.script)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return tc.excused || p.logTail() != "" || !p.Running() }, time.Minute, time.Millisecond)
			require.Error(t, p.Stop(time.Minute))
			require.Equal(t, tc.excused, p.endedBeforeStart())
		})
	}
}

// Guards against blaming a planned stop for a request that reached no process, because
// a signal ended the process before it listened, and against excusing any other one.
func TestCutByPlannedStop(t *testing.T) {
	refused := &url.Error{Op: "Get", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, tc := range []struct {
		name, script string
		started      bool
		err          error
		cut          bool
	}{
		{"refused before the start", "exec sleep 60", false, refused, false},
		{"broken off before the start", "exec sleep 60", false, io.ErrUnexpectedEOF, true},
		{"refused by a process that had started", "echo started; exec sleep 60", true, refused, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, err := startProcess(t.TempDir(), "p", "/bin/sh", "-c", tc.script)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return !tc.started || p.logTail() != "" }, time.Minute, time.Millisecond)
			require.Error(t, p.Stop(time.Minute))
			now := time.Now()
			s := &meshSoak{events: []event{{stopsNode: true, start: now, end: now, vmCount: 1, totalVMs: 1, node: p}}}
			require.Equal(t, tc.cut, s.cutByPlannedStop(requestRecord{begin: now.Add(-time.Second), end: now.Add(time.Second), err: tc.err}))
		})
	}
}

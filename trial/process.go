package trial

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// logTailBytes is how much of a process's output an error quotes.
const logTailBytes = 2000

// Process is one child process.
type Process struct {
	name    string
	logFile string
	cmd     *exec.Cmd
	// done is closed after the process has ended; exitErr is set before.
	done    chan struct{}
	exitErr error
	killed  bool
}

// startProcess starts a program whose output goes to dir/name.log. It runs in
// its own process group, so that an interrupt from the terminal reaches only
// the caller, which then stops the processes in order.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, logFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.logFile)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process to simulate a failure. Stop then returns nil.
func (p *Process) Kill() {
	p.killed = true
	_ = p.cmd.Process.Kill() // it may have ended before
	<-p.done
}

// pause suspends the process and returns a function that resumes it.
func (p *Process) pause() (resume func()) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended before
	return p.resume
}

// resume resumes the process if it is suspended.
func (p *Process) resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits. It returns an error if the process ended
// before, exits with a status other than 0 or does not end within the timeout.
func (p *Process) Stop(timeout time.Duration) error {
	if p.killed {
		return nil
	}
	if !p.Running() {
		return eris.Errorf("%s ended early: %v: %s", p.name, p.exitErr, p.logTail())
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		if errors.Is(err, os.ErrProcessDone) {
			// The goroutine that waits for the process still writes its state.
			<-p.done
		}
		return eris.Wrapf(err, "stop %s", p.name)
	}
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return eris.Errorf("%s did not stop within %s: %s", p.name, timeout, p.logTail())
	}
	if p.exitErr != nil {
		return eris.Errorf("%s stopped with %v: %s", p.name, p.exitErr, p.logTail())
	}
	return nil
}

// endedBeforeStart reports whether SIGTERM or SIGHUP ended the process before it wrote
// its first line. No handler of them can be installed then, and it serves nobody yet.
func (p *Process) endedBeforeStart() bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || p.logTail() != "" {
		return false
	}
	return status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGHUP
}

// logTail returns the end of the process's output.
func (p *Process) logTail() string {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b[max(0, len(b)-logTailBytes):]))
}

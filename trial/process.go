package trial

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// logTail is how much of a process's output an error quotes, in bytes.
const logTail = 2000

// Process is one child process.
type Process struct {
	name string
	log  string
	cmd  *exec.Cmd
	// ended is closed after the process is gone; err is set before.
	ended  chan struct{}
	err    error
	killed bool
}

// startProcess starts a program whose output goes to dir/name.log. It runs in a
// process group of its own, so that an interrupt of the terminal reaches only
// the caller, which then stops the processes in order.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	out, err := os.Create(p.log)
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
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process without notice, as a failure. Stop then reports nothing.
func (p *Process) Kill() {
	p.killed = true
	_ = p.cmd.Process.Kill() // it may have ended before
	<-p.ended
}

// Stop asks the process to end and waits. It is an error where the process
// ended before, ends with another status than 0 or does not end in time.
func (p *Process) Stop(limit time.Duration) error {
	if p.killed {
		return nil
	}
	if !p.Running() {
		return eris.Errorf("%s ended early: %v: %s", p.name, p.err, p.tail())
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrapf(err, "stop %s", p.name)
	}
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.Kill()
		return eris.Errorf("%s did not stop within %s: %s", p.name, limit, p.tail())
	}
	if p.err != nil {
		return eris.Errorf("%s stopped with %v: %s", p.name, p.err, p.tail())
	}
	return nil
}

// tail returns the end of the process's output.
func (p *Process) tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b[max(0, len(b)-logTail):]))
}

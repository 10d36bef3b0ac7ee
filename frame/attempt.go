package frame

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// HeaderAttempt carries the attempt id in requests and responses between nodes.
const HeaderAttempt = "Dogwood-Attempt"

// Incarnation identifies one run of the process on a VM. A restart on the same
// VM has a new incarnation, so calls sent to the earlier process are refused.
type Incarnation struct {
	vm      string
	process ID
}

// NewIncarnation returns the incarnation of a VM's process with a random id.
func NewIncarnation(vm string, r *rand.Rand) Incarnation {
	return Incarnation{vm: vm, process: NewID(r.Uint64)}
}

// VM returns the name of the VM.
func (i Incarnation) VM() string { return i.vm }

// Process returns the random id of the process.
func (i Incarnation) Process() ID { return i.process }

// Known reports whether i identifies a process; false for the zero value.
func (i Incarnation) Known() bool { return i.process != 0 }

// String returns "vm:process", or "" if the incarnation is not known.
func (i Incarnation) String() string {
	if !i.Known() {
		return ""
	}
	return i.vm + ":" + i.process.String()
}

// ParseIncarnation parses the form that String writes.
func ParseIncarnation(s string) (Incarnation, error) {
	if s == "" {
		return Incarnation{}, nil
	}
	vm, process, ok := strings.Cut(s, ":")
	if !ok || vm == "" || strings.ContainsAny(vm, "/; \r\n") {
		return Incarnation{}, fmt.Errorf("incarnation %q: want vm:process", s)
	}
	id, err := ParseID(process)
	if err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q: %w", s, err)
	}
	return Incarnation{vm: vm, process: id}, nil
}

// Attempt identifies one attempt of a call. An id is never reused: the sender
// numbers its attempts per receiver incarnation, starting at 1.
type Attempt struct {
	sender   Incarnation
	receiver Incarnation
	seq      uint64
}

// NewAttempt returns the id of the sender's attempt number seq. The receiver may
// be the zero value only for idempotent calls.
func NewAttempt(sender, receiver Incarnation, seq uint64) Attempt {
	return Attempt{sender: sender, receiver: receiver, seq: seq}
}

// Sender returns the incarnation that numbered the attempt.
func (a Attempt) Sender() Incarnation { return a.sender }

// Receiver returns the incarnation that may run the attempt.
func (a Attempt) Receiver() Incarnation { return a.receiver }

// Seq returns the sequence number, from 1.
func (a Attempt) Seq() uint64 { return a.seq }

// String returns "sender/receiver/seq".
func (a Attempt) String() string {
	return a.sender.String() + "/" + a.receiver.String() + "/" + strconv.FormatUint(a.seq, 10)
}

// ParseAttempt parses the form that String writes.
func ParseAttempt(s string) (Attempt, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return Attempt{}, fmt.Errorf("attempt %q: want sender/receiver/seq", s)
	}
	sender, err := ParseIncarnation(parts[0])
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q: sender: %w", s, err)
	}
	if !sender.Known() {
		return Attempt{}, fmt.Errorf("attempt %q: sender is missing", s)
	}
	receiver, err := ParseIncarnation(parts[1])
	if err != nil {
		return Attempt{}, fmt.Errorf("attempt %q: receiver: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || seq == 0 {
		return Attempt{}, fmt.Errorf("attempt %q: sequence is not a positive number", s)
	}
	return Attempt{sender: sender, receiver: receiver, seq: seq}, nil
}

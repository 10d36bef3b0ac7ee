package member

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

// maxVMs bounds the VM list, well above the 1,500 that are planned for.
const maxVMs = 4096

// ListError reports an invalid VM list, and which entry is invalid.
type ListError struct {
	index  int
	name   string
	reason string
}

// Index returns the position of the entry, from 0; -1 for the list as a whole.
func (e *ListError) Index() int { return e.index }

func (e *ListError) Error() string {
	if e.index < 0 {
		return "vms: " + e.reason
	}
	return fmt.Sprintf("vms: entry %d %q: %s", e.index, e.name, e.reason)
}

// listDocument is the JSON form of the VM list.
type listDocument struct {
	VMs []board.VMFields `json:"vms"`
}

// ParseList parses and validates the VM list. It rejects unknown fields, an empty
// list, invalid names or addresses, and two entries with the same name or address.
// When a list is rejected the previous one stays active, so that a fault of the
// platform cannot take all backend servers out of use. Errors are *ListError.
func ParseList(src []byte) ([]board.VM, error) {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	var doc listDocument
	if err := dec.Decode(&doc); err != nil {
		return nil, &ListError{index: -1, reason: err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &ListError{index: -1, reason: "data after the list"}
	}
	if len(doc.VMs) == 0 || len(doc.VMs) > maxVMs {
		return nil, &ListError{index: -1, reason: fmt.Sprintf("%d entries, want 1 to %d", len(doc.VMs), maxVMs)}
	}
	vms := make([]board.VM, 0, len(doc.VMs))
	seen := make(map[string]bool, 3*len(doc.VMs))
	for i, f := range doc.VMs {
		if reason := checkEntry(f, seen); reason != "" {
			return nil, &ListError{index: i, name: f.Name, reason: reason}
		}
		vms = append(vms, board.NewVM(f))
	}
	return vms, nil
}

// checkEntry returns why an entry is invalid, "" if it is valid. It adds the
// entry's name and addresses to seen, which holds those of earlier entries.
func checkEntry(f board.VMFields, seen map[string]bool) string {
	names := []struct {
		field, value string
		optional     bool
	}{{"name", f.Name, false}, {"zone", f.Zone, false}, {"service", f.Service, false}, {"region", f.Region, true}}
	for _, n := range names {
		if !frame.ValidName(n.value) && (n.value != "" || !n.optional) {
			return fmt.Sprintf("%s %q is not a valid name", n.field, n.value)
		}
	}
	for _, addr := range []string{f.CallAddr, f.ControlAddr} {
		if p, err := netip.ParseAddrPort(addr); err != nil || p.Port() == 0 {
			return fmt.Sprintf("address %q: want ip:port", addr)
		}
	}
	for _, key := range []string{f.Name, f.CallAddr, f.ControlAddr} {
		if seen[key] {
			return fmt.Sprintf("%q appears twice", key)
		}
		seen[key] = true
	}
	return ""
}

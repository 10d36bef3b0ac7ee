package frame

import (
	"fmt"
	"strings"
)

// Target identifies an operation of a service.
type Target struct {
	service   string
	operation string
}

// NewTarget returns a target. It fails unless both names are valid (ValidName).
func NewTarget(service, operation string) (Target, error) {
	if !ValidName(service) {
		return Target{}, fmt.Errorf("service %q: want 1 to 64 of a-z, 0-9 and '-'", service)
	}
	if !ValidName(operation) {
		return Target{}, fmt.Errorf("operation %q: want 1 to 64 of a-z, 0-9 and '-'", operation)
	}
	return Target{service: service, operation: operation}, nil
}

// ParseTarget parses "service/operation".
func ParseTarget(s string) (Target, error) {
	service, operation, ok := strings.Cut(s, "/")
	if !ok {
		return Target{}, fmt.Errorf("target %q: want service/operation", s)
	}
	return NewTarget(service, operation)
}

// Service returns the name of the service.
func (t Target) Service() string { return t.service }

// Operation returns the name of the operation.
func (t Target) Operation() string { return t.operation }

// String returns "service/operation".
func (t Target) String() string { return t.service + "/" + t.operation }

// ValidName reports whether s is valid as a service, operation, class, zone or VM name.
func ValidName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return false
		}
	}
	return true
}

package source

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnchanged is returned by Watch when no revision above the given one
// appeared within the wait.
var ErrUnchanged = errors.New("platform: unchanged")

// NotFoundError reports a key that the platform does not have.
type NotFoundError struct{ key string }

// Key returns the key that was asked for.
func (e *NotFoundError) Key() string { return e.key }

func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: %s: not found", e.key) }

// ThrottledError reports a read that exceeded the platform's budget (429).
type ThrottledError struct {
	key   string
	after time.Duration
}

// Key returns the key that was asked for.
func (e *ThrottledError) Key() string { return e.key }

// After returns how long the platform asks to wait; zero where it does not say.
func (e *ThrottledError) After() time.Duration { return e.after }

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("platform: %s: throttled, retry after %s", e.key, e.after)
}

// UnavailableError reports a platform that cannot be reached or failed.
type UnavailableError struct {
	key    string
	status int
	cause  error
}

// Key returns the key that was asked for.
func (e *UnavailableError) Key() string { return e.key }

// Status returns the HTTP status, 0 where there was no response.
func (e *UnavailableError) Status() int { return e.status }

// Unwrap returns the transport's error, nil where there was a response.
func (e *UnavailableError) Unwrap() error { return e.cause }

func (e *UnavailableError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("platform: %s: unavailable: %v", e.key, e.cause)
	}
	return fmt.Sprintf("platform: %s: unavailable: status %d", e.key, e.status)
}

// InvalidError reports a response that breaks the interface: no valid revision,
// a value above the size limit, or a watch answered with an older revision.
type InvalidError struct {
	key    string
	reason string
}

// Key returns the key that was asked for.
func (e *InvalidError) Key() string { return e.key }

func (e *InvalidError) Error() string { return fmt.Sprintf("platform: %s: %s", e.key, e.reason) }

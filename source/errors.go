package source

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnchanged is returned by Client.Watch when no revision above the given one
// appeared within the wait.
var ErrUnchanged = errors.New("platform: unchanged")

// NotFoundError reports a key that the platform does not have.
type NotFoundError struct{ key string }

// Key returns the requested key.
func (e *NotFoundError) Key() string { return e.key }

func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: %s: not found", e.key) }

// ThrottledError reports a read that exceeded the platform's rate limit (429).
type ThrottledError struct {
	key        string
	retryAfter time.Duration
}

// Key returns the requested key.
func (e *ThrottledError) Key() string { return e.key }

// RetryAfter returns the delay that the platform requests; zero if it sets none.
func (e *ThrottledError) RetryAfter() time.Duration { return e.retryAfter }

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("platform: %s: throttled, retry after %s", e.key, e.retryAfter)
}

// UnavailableError reports a platform that cannot be reached or failed.
type UnavailableError struct {
	key    string
	status int
	cause  error
}

// Key returns the requested key.
func (e *UnavailableError) Key() string { return e.key }

// Status returns the HTTP status, 0 if there was no response.
func (e *UnavailableError) Status() int { return e.status }

// Unwrap returns the transport's error, nil if there was a response.
func (e *UnavailableError) Unwrap() error { return e.cause }

func (e *UnavailableError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("platform: %s: unavailable: %v", e.key, e.cause)
	}
	return fmt.Sprintf("platform: %s: unavailable: status %d", e.key, e.status)
}

// InvalidError reports an invalid response: no valid revision, a value above the
// size limit, or a watch that returned an old revision.
type InvalidError struct {
	key    string
	reason string
}

// Key returns the requested key.
func (e *InvalidError) Key() string { return e.key }

func (e *InvalidError) Error() string { return fmt.Sprintf("platform: %s: %s", e.key, e.reason) }

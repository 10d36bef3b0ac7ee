package frame

import (
	"errors"
	"fmt"
)

// ContextError reports a malformed field of a call context.
type ContextError struct {
	field  string
	reason string
}

// Field returns the name of the malformed field.
func (e *ContextError) Field() string { return e.field }

func (e *ContextError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", HeaderContext, e.field, e.reason)
}

// OutcomeError is the error of a call without an answer.
type OutcomeError struct {
	outcome Outcome
	reason  Reason
	detail  string
}

// NotRunError returns the error of a call that did not run and never will.
func NotRunError(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{outcome: NotRun, reason: reason, detail: detail}
}

// UnknownError returns the error of a call whose outcome is unknown.
func UnknownError(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{outcome: Unknown, reason: reason, detail: detail}
}

// Outcome returns NotRun or Unknown.
func (e *OutcomeError) Outcome() Outcome { return e.outcome }

// Reason returns the one-word cause.
func (e *OutcomeError) Reason() Reason { return e.reason }

// Detail returns the description of the cause, or "".
func (e *OutcomeError) Detail() string { return e.detail }

func (e *OutcomeError) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("%s: %s", e.outcome, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.outcome, e.reason, e.detail)
}

// OutcomeOf returns the outcome and reason of err: Answered for nil, Unknown with
// ReasonLost for an error that wraps no OutcomeError.
func OutcomeOf(err error) (Outcome, Reason) {
	if err == nil {
		return Answered, ""
	}
	var oe *OutcomeError
	if errors.As(err, &oe) {
		return oe.outcome, oe.reason
	}
	return Unknown, ReasonLost
}

package frame

import (
	"errors"
	"fmt"
)

// ContextError says which field of a call context is malformed.
type ContextError struct {
	field  string
	reason string
}

// Field returns the name of the malformed field.
func (e *ContextError) Field() string { return e.field }

func (e *ContextError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", HeaderContext, e.field, e.reason)
}

// OutcomeError reports a call that has no answer, with its outcome and reason.
type OutcomeError struct {
	outcome Outcome
	reason  Reason
	detail  string
}

// Refuse returns the error of a call that did not run.
func Refuse(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{outcome: NotRun, reason: reason, detail: detail}
}

// Lose returns the error of a call whose outcome is not known.
func Lose(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{outcome: Unknown, reason: reason, detail: detail}
}

// Outcome returns NotRun or Unknown.
func (e *OutcomeError) Outcome() Outcome { return e.outcome }

// Reason returns the one-word cause.
func (e *OutcomeError) Reason() Reason { return e.reason }

// Detail returns the cause in words.
func (e *OutcomeError) Detail() string { return e.detail }

func (e *OutcomeError) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("%s: %s", e.outcome, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.outcome, e.reason, e.detail)
}

// OutcomeOf returns the outcome and reason of err. A nil error is Answered; an
// error without an OutcomeError is Unknown.
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

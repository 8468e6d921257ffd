// Package verdict says of a failed request whether it may have run.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"knapweedspur/internal/wire/message"
)

// Verdict tells whether a failed request may have run.
type Verdict int

// The verdicts, from the one that allows every retry to the one that allows none.
const (
	// Unrun means that the request did not run and never will.
	Unrun Verdict = iota + 1
	// Unknown means that the request may have run.
	Unknown
	// Ran means that the request ran and its answer was lost.
	Ran
)

// Header carries the verdict to the caller.
const Header = "Knapweedspur-Verdict"

// String returns the name used in headers and frames.
func (v Verdict) String() string {
	switch v {
	case Unrun:
		return "unrun"
	case Unknown:
		return "unknown"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("verdict(%d)", int(v))
}

// Parse reads the name of a verdict. A name it does not know is Unknown,
// since that is the verdict that promises nothing.
func Parse(name string) Verdict {
	switch name {
	case "unrun":
		return Unrun
	case "ran":
		return Ran
	}
	return Unknown
}

// Cause groups the reasons for a failure by the status that fits them.
type Cause int

// The causes of failures.
const (
	// Overload means that there is no room now.
	Overload Cause = iota + 1
	// Absent means that nothing serves the request now.
	Unavailable
	// Late means that the deadline passed.
	DeadlineExceeded
	// Broken means that the connection or the upstream failed.
	UpstreamFailure
	// Invalid means that the request itself is wrong.
	Invalid
	// Missing means that what the request names does not exist.
	NotFound
	// Outage means that the log service does not answer.
	LogUnavailable
	// Conflict means that another change came first.
	Conflict
)

// Error is a failure with its verdict.
type Error struct {
	// Verdict tells whether the request may have run.
	Verdict Verdict
	// Cause groups the failure.
	Cause Cause
	// Reason says what happened, and what to do about it, in a sentence.
	Reason string
	// After is when to come back, zero for never.
	RetryAfter time.Duration
}

// Error returns the reason and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
}

// Status returns the HTTP status that fits the failure.
func (e *Error) Status() int {
	switch e.Cause {
	case Overload, Unavailable, LogUnavailable:
		return http.StatusServiceUnavailable
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case Invalid:
		return http.StatusBadRequest
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

// Fault returns the failure as a frame's part.
func (e *Error) Fault() *message.Fault {
	return &message.Fault{Verdict: e.Verdict.String(), Cause: int(e.Cause), Reason: e.Reason, After: e.RetryAfter}
}

// FromFault returns the failure that a frame tells of.
func FromFault(f *message.Fault) *Error {
	return &Error{Verdict: Parse(f.Verdict), Cause: Cause(f.Cause), Reason: f.Reason, RetryAfter: f.After}
}

// Of returns the verdict of err. An error without one is Unknown.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// As returns err as a failure with a verdict, Unknown where it had none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: Unknown, Cause: UpstreamFailure, Reason: err.Error()}
}

// Write answers a caller with the failure.
func (e *Error) WriteResponse(w http.ResponseWriter) {
	h := w.Header()
	h.Set(Header, e.Verdict.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(int64((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Status())
	fmt.Fprintln(w, e.Reason)
}

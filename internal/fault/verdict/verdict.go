// Package verdict classifies errors of failed requests by whether the request
// may have been executed.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"knapweedspur/internal/wire/message"
)

// Verdict states whether a failed request may have been executed.
type Verdict int

// The verdicts, ordered from always safe to retry to never safe to retry.
const (
	// Unrun means that the request was not executed and never will be.
	Unrun Verdict = iota + 1
	// Unknown means that the request may have been executed.
	Unknown
	// Ran means that the request was executed and its answer was lost.
	Ran
)

// Header is the HTTP header that carries the verdict to the caller.
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

// Parse parses the name of a verdict. An unrecognized name yields Unknown, the
// verdict that guarantees nothing.
func Parse(name string) Verdict {
	switch name {
	case "unrun":
		return Unrun
	case "ran":
		return Ran
	}
	return Unknown
}

// Cause categorizes a failure. It determines the HTTP status. The numeric
// values are sent in frames.
type Cause int

// The causes of failures.
const (
	// Overload means that there is no free capacity.
	Overload Cause = iota + 1
	// Unavailable means that nothing can serve the request at present.
	Unavailable
	// DeadlineExceeded means that the deadline of the request has passed.
	DeadlineExceeded
	// UpstreamFailure means that the connection or the upstream failed.
	UpstreamFailure
	// Invalid means that the request itself is invalid.
	Invalid
	// NotFound means that an object named in the request does not exist.
	NotFound
	// LogUnavailable means that the log service does not answer.
	LogUnavailable
	// Conflict means that another change was applied first.
	Conflict
)

// Error is a request failure with its verdict.
type Error struct {
	// Verdict states whether the request may have been executed.
	Verdict Verdict
	// Cause is the category of the failure.
	Cause Cause
	// Reason is a sentence that says what happened and what the caller can do.
	Reason string
	// RetryAfter is how long the caller should wait before it retries, 0 if it
	// should not retry.
	RetryAfter time.Duration
}

// Error returns the reason and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
}

// Status returns the HTTP status for the cause.
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

// Fault converts the failure to its wire form.
func (e *Error) Fault() *message.Fault {
	return &message.Fault{Verdict: e.Verdict.String(), Cause: int(e.Cause), Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// FromFault converts a failure from its wire form.
func FromFault(f *message.Fault) *Error {
	return &Error{Verdict: Parse(f.Verdict), Cause: Cause(f.Cause), Reason: f.Reason, RetryAfter: f.RetryAfter}
}

// Of returns the verdict of err, or Unknown if err is not an *Error.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// As returns err as an *Error. Any other error becomes an UpstreamFailure with
// the verdict Unknown.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: Unknown, Cause: UpstreamFailure, Reason: err.Error()}
}

// WriteResponse writes the failure as an HTTP response.
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

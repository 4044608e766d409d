package agateupstream

import (
	"errors"
	"net/http"
	"net/netip"
	"time"
)

// Errors in Reply.Err that callers may want to tell apart.
var (
	ErrWithdrawn = errors.New("agateupstream: BeforeWrite refused")
	ErrBusy      = errors.New("agateupstream: connection share is in use")
	ErrClosed    = errors.New("agateupstream: pool is closed")
)

// Call is one request to one upstream.
type Call struct {
	// Upstream is the identity under which connections are kept.
	Upstream string
	Address  netip.AddrPort
	Method   string
	// Path starts with "/" and includes the query.
	Path   string
	Header http.Header
	// Host is the Host header; the default is the address.
	Host string
	Body []byte
	// Action restricts the call to connections that were alive within the
	// last second, or new ones.
	Action bool
	// Deadline is sent to the upstream as the remaining time. The default is
	// 2 s from now.
	Deadline time.Time
	// Grace is how long after Deadline an answer is still awaited.
	Grace time.Duration
	// Probe is how long a connection may stay silent while an answer is
	// awaited, before it and its idle neighbours are taken for dead. The
	// default is no limit but Deadline plus Grace. Actions ignore it, since
	// giving up early on an action only loses its answer.
	Probe time.Duration
	// BeforeWrite is called right before the first byte. If it returns false,
	// nothing is written. The default allows every write.
	BeforeWrite func() bool
}

// Kind says how a call ended.
type Kind uint8

// The kinds of replies. The zero value is Broken, the one that promises
// nothing.
const (
	// Broken: the connection ended, or the answer was malformed, after bytes
	// were written. The request may have run.
	Broken Kind = iota
	// Answered: the whole answer was read.
	Answered
	// Shed: the upstream answered that it did not run the request.
	Shed
	// Refused: the upstream refused the connection.
	Refused
	// NotWritten: the call failed before any byte was written.
	NotWritten
	// Truncated: the end of the answer's body is missing or cannot be known.
	Truncated
	// TimedOut: Deadline plus Grace passed, or the connection was silent for
	// Probe or for the TCP user timeout.
	TimedOut
	// Cancelled: the context was cancelled.
	Cancelled
	// TooLarge: the answer's header or body exceeds its limit.
	TooLarge
	// Busy: this process's share of the upstream's connections is in use.
	Busy
)

var kinds = [...]string{
	"broken", "answered", "shed", "refused", "not-written",
	"truncated", "timed-out", "cancelled", "too-large", "busy",
}

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return "invalid"
}

// Reply is the outcome of a Call.
type Reply struct {
	Kind Kind
	// Status, Header and Body are set if Kind is Answered or Shed.
	Status int
	Header http.Header
	Body   []byte
	// Started reports that the upstream may have run the request: bytes were
	// written and the answer is not a Shed.
	Started bool
	// Died reports that the connection broke while the request was in flight
	// and that the upstream's process probably ended.
	Died bool
	// RetryAfter is what the upstream asked for, or 0.
	RetryAfter time.Duration
	Elapsed    time.Duration
	// Travel is the round trip to the upstream as measured when the connection
	// was opened, or 0 if there was none.
	Travel time.Duration
	// Err says what went wrong. It is nil if Kind is Answered or Shed.
	Err error
}

package agateupstream

import (
	"errors"
	"net/http"
	"net/netip"
	"time"

	"agategate/internal/agatebuffer"
)

// Errors of Result.Err that the users of a Pool may distinguish.
var (
	ErrWriteRejected = errors.New("agateupstream: BeforeWrite returned false")
	ErrBusy          = errors.New("agateupstream: connection limit to the upstream reached")
	ErrClosed        = errors.New("agateupstream: pool is closed")
)

// Call is one request to one upstream.
type Call struct {
	// Upstream is the upstream's id, by which connections are pooled.
	Upstream string
	// Service is the name under which the sizes of response bodies are learned. The
	// default is Upstream.
	Service string
	Address netip.AddrPort
	Method  string
	// Path starts with "/" and includes the query.
	Path   string
	Header http.Header
	// Host is the Host header; the default is the address.
	Host string
	Body *agatebuffer.Buffer
	// Charge is charged for the response while it arrives; what is passed to Stream is
	// released by its receiver. By default the response is charged until Do returns.
	Charge *agatebuffer.Charge
	// Action marks a request that is not idempotent and must not run twice. It
	// is sent only on a new connection or one that was active within
	// Config.ActionIdleTimeout.
	Action bool
	// Deadline is sent to the upstream as the remaining time. The default is
	// 2 s from now.
	Deadline time.Time
	// Grace is how long after Deadline Do still waits for the response.
	Grace time.Duration
	// ReadIdleTimeout is the maximum time between reads while Do waits for the
	// response. When it expires, the connection is considered dead, as are the
	// idle connections to the same upstream with no activity since the request.
	// By default only Deadline plus Grace applies. It has no effect on actions,
	// because giving up early on an action only loses its response.
	ReadIdleTimeout time.Duration
	// Connected is called when a new connection was opened for the call, with the time
	// that it took. It may be nil.
	Connected func(took time.Duration)
	// BeforeWrite is called immediately before the first byte is written. If it
	// returns false, nothing is written. It may be nil.
	BeforeWrite func() bool
	// Stream is called with the head of a response whose declared length is at least
	// MinStreamBytes, unless it states that the request was not run. If it does not
	// return nil, the function that it returns is called with each part of the body as
	// it arrives, and must not modify it. It may keep the part until it has released its
	// bytes from Charge. Do reads the whole body in any case, and its result has no body
	// then. Stream may be nil.
	Stream func(status int, header http.Header, size int64) func(part []byte)
}

// MinStreamBytes is the size of a response body from which Call.Stream is used. A smaller
// one arrives almost at once.
const MinStreamBytes = 16 << 10

// Kind classifies the result of a call.
type Kind uint8

// The kinds of results. The zero value is Broken, which makes no statement about
// whether the request ran.
const (
	// Broken: the connection ended, or the response header was malformed, after
	// bytes were written. The request may have run.
	Broken Kind = iota
	// Answered: the complete response was read.
	Answered
	// Shed: the upstream responded that it did not run the request.
	Shed
	// Refused: the upstream refused the connection.
	Refused
	// NotWritten: the call failed before any byte was written.
	NotWritten
	// Truncated: the response body is incomplete or malformed, or its end cannot
	// be determined.
	Truncated
	// TimedOut: Deadline plus Grace passed, or ReadIdleTimeout or the TCP user
	// timeout expired.
	TimedOut
	// Canceled: the context was canceled.
	Canceled
	// TooLarge: the response header or body exceeds its limit, or the body found no room
	// in the account.
	TooLarge
	// Busy: as many connections to the upstream are in use as allowed.
	Busy
)

var kindNames = [...]string{
	"broken", "answered", "shed", "refused", "not-written",
	"truncated", "timed-out", "cancelled", "too-large", "busy",
}

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Result is the result of a Call.
type Result struct {
	Kind Kind
	// Status, Header and Body are set if Kind is Answered or Shed.
	Status int
	Header http.Header
	Body   *agatebuffer.Buffer
	// MayHaveRun reports that the upstream may have run the request: bytes were
	// written and Kind is not Shed.
	MayHaveRun bool
	// UpstreamDied reports that the connection broke while the request was in
	// flight and that the upstream's process probably ended.
	UpstreamDied bool
	// RetryAfter is the Retry-After time of the response, or 0.
	RetryAfter time.Duration
	Elapsed    time.Duration
	// RTT is the round-trip time to the upstream, measured when the connection
	// was opened, or 0 if there was no connection.
	RTT time.Duration
	// Err is the cause of a failure. It is nil if Kind is Answered or Shed.
	Err error
}

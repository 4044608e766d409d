package agateroute

import (
	"net/netip"
	"time"

	"agategate/core/agateinventory"
)

// Request is what Choose needs to know about a request.
type Request struct {
	ID      string
	Service string
	// Region is the home region. Empty means the region of the entry host.
	Region string
	Class  agateinventory.Class
	// Deadline is when the caller gives up. Zero means the default deadline
	// of the service, counted from the first Choose.
	Deadline time.Time
	// Tried are upstreams that must not get the request again.
	Tried []UpstreamID
	// Pinned is the only upstream that may get the request, if not empty.
	Pinned UpstreamID
	// Alone marks a suspect, which runs only on an upstream that runs no
	// other suspect.
	Alone bool
}

// Verdict says what to do with a request.
type Verdict uint8

// The verdicts. The zero value is Refuse.
const (
	Refuse Verdict = iota
	Wait
	Send
)

// String returns "refuse", "wait" or "send".
func (v Verdict) String() string {
	switch v {
	case Send:
		return "send"
	case Wait:
		return "wait"
	}
	return "refuse"
}

// Reason is a short stable word that explains a decision in logs.
type Reason string

// Reasons of decisions.
const (
	ReasonBest       Reason = "best"       // least expected time in the home region
	ReasonPinned     Reason = "pinned"     // the request names its upstream
	ReasonOverflow   Reason = "overflow"   // least expected time in another region
	ReasonRetry      Reason = "retry"      // second attempt
	ReasonHedge      Reason = "hedge"      // duplicate of a slow read
	ReasonBusy       Reason = "busy"       // every usable upstream is at its limit
	ReasonGrant      Reason = "grant"      // only another region can answer, and no grant is free
	ReasonFull       Reason = "full"       // the queue is full
	ReasonLate       Reason = "late"       // no answer is possible before the deadline
	ReasonAdmission  Reason = "admission"  // the wait would outlast the deadline
	ReasonNone       Reason = "none"       // no upstream is usable
	ReasonDrained    Reason = "drained"    // operators' drains keep the request from every upstream
	ReasonUnknown    Reason = "unknown"    // no such service
	ReasonBudget     Reason = "budget"     // the retry budget is used up
	ReasonStarted    Reason = "started"    // an action may have started, so it must not repeat
	ReasonUnexpected Reason = "unexpected" // the answer needs no second attempt, or it is too early to hedge
)

// maxBest is the number of candidates that a Decision names.
const maxBest = 3

// Candidate is an upstream that could have taken a request.
type Candidate struct {
	ID       UpstreamID
	Expected time.Duration
}

// Decision is the answer to a Request.
type Decision struct {
	Verdict  Verdict
	Upstream UpstreamID
	Address  netip.AddrPort
	Region   string
	Reason   Reason
	// Considered is the number of upstreams that were compared, and Best the
	// best of those that could have taken the request, the chosen one first.
	// Unused places have an empty ID.
	Considered int
	Best       [maxBest]Candidate
	// Expected is the expected time to the answer, without the wait in the
	// queue for a Send and with it for a Wait.
	Expected time.Duration
	// RetryAfter is when a refused request may succeed.
	RetryAfter time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: a whole answer arrived.
	Answered Outcome = iota
	// Shed: the upstream refused before execution.
	Shed
	// Unstarted: nothing was written to the upstream.
	Unstarted
	// Failed: the upstream or its connection failed, and the request may have
	// run.
	Failed
	// TimedOut: no answer came in the time allowed.
	TimedOut
	// Canceled: this side gave the attempt up, as for the loser of a hedge.
	Canceled
)

// Observation is how one attempt at an upstream ended.
type Observation struct {
	Outcome Outcome
	Class   agateinventory.Class
	// Home is the home region of the request. Empty means the upstream's own.
	Home string
	// Latency is the time from Start to the end of the attempt.
	Latency time.Duration
	// Travel is the part of Latency that is the network's round trip, as
	// measured when the connection was opened. Zero means unknown.
	Travel time.Duration
	// RetryAfter is what the upstream asked for, or zero.
	RetryAfter time.Duration
	// Alone repeats Request.Alone.
	Alone bool
	// Died says that the upstream's process ended during the attempt.
	Died bool
}

// Started reports whether the request may have been executed.
func (o Observation) Started() bool {
	return o.Outcome != Shed && o.Outcome != Unstarted
}

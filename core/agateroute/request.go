package agateroute

import (
	"net/netip"
	"time"

	"agategate/core/agateinventory"
)

// Request describes a request to Choose.
type Request struct {
	ID      string
	Service string
	// HomeRegion is empty for the region of the entry host.
	HomeRegion string
	Class      agateinventory.Class
	// Deadline is the time by which the caller needs the response. Zero means
	// the default deadline of the service, counted from the call of Choose.
	Deadline time.Time
	// Tried lists upstreams that must not receive the request again.
	Tried []UpstreamID
	// Pinned, if set, is the only upstream that may receive the request.
	Pinned UpstreamID
	// Suspect marks a request suspected of crashing upstreams. It is sent only
	// to an upstream that runs no other suspect.
	Suspect bool
}

// Verdict is the kind of a decision.
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

// Reason is a short, stable identifier that explains a decision in logs.
type Reason string

// The reasons of decisions.
const (
	ReasonBest        Reason = "best"       // lowest cost in the home region
	ReasonPinned      Reason = "pinned"     // the request is pinned to this upstream
	ReasonOverflow    Reason = "overflow"   // lowest cost in another region
	ReasonRetry       Reason = "retry"      // retry of a failed attempt
	ReasonHedge       Reason = "hedge"      // duplicate of a slow read
	ReasonBusy        Reason = "busy"       // no eligible upstream has room, or the region is too busy for a hedge
	ReasonGrant       Reason = "grant"      // waits for an overflow grant, since only another region can answer
	ReasonFull        Reason = "full"       // the queue is full
	ReasonLate        Reason = "late"       // no response is expected before the deadline
	ReasonAdmission   Reason = "admission"  // the queueing time would exceed the deadline
	ReasonNone        Reason = "none"       // no upstream may receive the request now
	ReasonDrained     Reason = "drained"    // operators' drains exclude the request from every upstream
	ReasonUnknown     Reason = "unknown"    // unknown service
	ReasonBudget      Reason = "budget"     // the retry budget is exhausted
	ReasonMayHaveRun  Reason = "started"    // an action may have run, so it must not be repeated
	ReasonNotEligible Reason = "unexpected" // no second attempt: answered, canceled, not a read or too early to hedge
)

// maxCandidates is the number of candidates that a Decision lists.
const maxCandidates = 3

// Candidate is an upstream that could take a request.
type Candidate struct {
	ID              UpstreamID
	ExpectedLatency time.Duration
}

// Decision is the result of Choose, Next, Retry or Hedge.
type Decision struct {
	Verdict  Verdict
	Upstream UpstreamID
	Address  netip.AddrPort
	// Incarnation is that of the chosen upstream, for the Observation of the attempt.
	Incarnation uint64
	Region      string
	Reason      Reason
	// Considered is the number of upstreams that were compared. Candidates lists
	// those with the lowest cost among the ones that could take the request, the
	// chosen one first. Unused elements have an empty ID.
	Considered int
	Candidates [maxCandidates]Candidate
	// ExpectedLatency is the expected time to the response. For Wait it includes
	// the time in the queue.
	ExpectedLatency time.Duration
	// RetryAfter is the delay after which a refused request may succeed.
	RetryAfter time.Duration
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that a complete response without a failure was received.
	Answered Outcome = iota
	// Shed means that the upstream stated that it did not run the request, or
	// that this host had no connection to it free.
	Shed
	// NotSent means that nothing was written to the upstream.
	NotSent
	// Failed means that the response was a failure (status 5xx) or incomplete, or
	// that the connection failed. The request may have run.
	Failed
	// TimedOut means that no response arrived in time.
	TimedOut
	// Canceled means that the entry host canceled the attempt, for example as
	// the slower attempt of a hedged read.
	Canceled
)

// Observation describes the end of one attempt at an upstream.
type Observation struct {
	Outcome Outcome
	// HomeRegion is the home region of the request. Empty means the region of
	// the upstream.
	HomeRegion string
	// Latency is the time from Start to the end of the attempt.
	Latency time.Duration
	// RTT is the part of Latency spent on the network round trip, as measured
	// when the connection was opened. Zero means unknown.
	RTT time.Duration
	// Incarnation is the one of the Decision that the attempt follows. RetryAfter and
	// Leaving are statements of that incarnation only.
	Incarnation uint64
	// RetryAfter is the time for which the upstream wants no requests from this host,
	// of any class, or zero. The longest one counts.
	RetryAfter time.Duration
	// Leaving reports that the response says that the upstream is about to stop.
	Leaving bool
	// Suspect is the value of Request.Suspect.
	Suspect bool
	// UpstreamDied reports that the upstream process ended during the attempt.
	UpstreamDied bool
}

// MayHaveRun reports whether the upstream may have run the request.
func (o Observation) MayHaveRun() bool {
	return o.Outcome != Shed && o.Outcome != NotSent
}

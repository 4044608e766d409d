package agatebalance

import (
	"time"

	"agategate/core/agatelimit"
)

// Outcome states how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that a complete response without a failure arrived.
	Answered Outcome = iota
	// Shed means that the upstream stated that it did not run the request.
	Shed
	// WrongUpstream means that another upstream uses the address.
	WrongUpstream
	// NotSent means that nothing was written to the upstream.
	NotSent
	// Failed means that the response was a failure or incomplete, or that the
	// connection failed.
	Failed
	// TimedOut means that no response arrived in time.
	TimedOut
	// Canceled means that this host canceled the attempt or had no connection
	// free for it. It says nothing about the upstream.
	Canceled
)

// shedFailureWeight is the weight of a shed request in the failure rate. One that
// reports a queue is full and has not failed, but one that always sheds is of no use.
const shedFailureWeight = 0.5

// Observation describes the end of one attempt.
type Observation struct {
	Outcome Outcome
	// Latency is the time from Start to the end of the attempt.
	Latency time.Duration
	// RTT is the network round-trip time measured when the connection was opened,
	// or zero.
	RTT time.Duration
	// Unreachable reports that there was no answer to the attempt to connect, if Outcome
	// is NotSent.
	Unreachable bool
	// Responded reports that a response arrived, if Outcome is Failed.
	Responded bool
	// Running and Waiting are the numbers of requests running and queued at the
	// upstream according to the response. They are valid if Reported is set.
	Reported         bool
	Running, Waiting int
	// Limit is the limit that the response names, if any.
	Limit agatelimit.Limit
	// Pause is the time for which the upstream wants no requests from this host,
	// counted from its response.
	Pause time.Duration
	// Leaving reports that the response says that the upstream is about to stop.
	Leaving bool
	// Basis is the one of the decision that the attempt follows.
	Basis Basis
	// Hedged reports that a copy of the request was sent while it ran, and
	// CopyAnswered that the copy was answered first. The latency is then the time
	// from the start of the original to the response to the copy.
	Hedged, CopyAnswered bool
	// UpstreamDied reports that the upstream's process ended during the attempt.
	UpstreamDied bool
}

// heard reports whether the upstream responded.
func (o *Observation) heard() bool {
	switch o.Outcome {
	case Answered, Shed, WrongUpstream:
		return true
	case Failed:
		return o.Responded
	}
	return false
}

// Start records that a request is sent to an upstream.
func (t *Table) Start(now time.Time, id string) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	if u.inFlight == 0 {
		u.unansweredSince = now
	}
	u.inFlight++
	t.domain(u).start(now)
	if now.Before(u.coldUntil) {
		u.coldBucket.tokens--
	}
	if u.limit.limit.Named {
		u.limit.bucket.tokens--
	}
}

// Connected records that an upstream accepted a new connection, and in what time. It is
// to be called at once: at the end of an attempt, which may take long, the connection no longer shows
// that the upstream and the links to it are up.
func (t *Table) Connected(now time.Time, id string, took time.Duration) {
	t.connected(now)
	if u := t.upstreams[id]; u != nil {
		t.recordConnectTime(u, took)
		t.service(u.info.Service).alive(now)
		t.domainHeard(u)
	}
}

// Changes tells what Finish has learned about an upstream.
type Changes struct {
	Limit   bool // its limit changed
	Leaving bool // it is about to stop, which was not known
}

// Finish records the end of an attempt. What an upstream says of itself in a response
// counts only for the process to which the request was sent.
func (t *Table) Finish(now time.Time, id string, o Observation) (c Changes) {
	u := t.upstreams[id]
	if u == nil {
		return c
	}
	startedAt, s := now.Add(-o.Latency), t.service(u.info.Service)
	if !o.heard() && (startedAt.Before(t.links.backAt) || startedAt.Before(s.links.backAt)) {
		o.Outcome, o.Unreachable = Canceled, false // the links failed, and not the upstream
	}
	c.Limit = t.recordLimit(now, u, &o)
	if u.stated(&o) {
		u.recordPause(now, &o)
		c.Leaving = t.recordLeaving(now, u, &o)
	}
	u.inFlight = max(0, u.inFlight-1)
	measured := o.Basis.measures(now)
	if measured {
		u.recordRTT(&o)
	}
	if o.Reported {
		u.recordLoad(now, o.Running+o.Waiting)
		u.ownLoadAt = now
		t.shareLoad(now, u, o.Running+o.Waiting)
	}
	if o.heard() {
		t.heard(now, u)
	}
	if o.Outcome == NotSent {
		u.unconnectedAt = now
	}
	if o.Unreachable {
		t.domainUnreachable(now, u)
	}
	if o.Outcome == WrongUpstream {
		t.service(u.info.Service).disruptedAt = now
	}
	switch o.Outcome {
	case Answered:
		u.recordSuccess()
		u.lastAnsweredAt = now
		if measured {
			t.recordLatency(now, u, &o)
		}
	case Shed:
		if !o.Reported {
			u.otherLoad.mean = max(u.otherLoad.mean, u.slots()*maxLoadPerSlot-float64(u.inFlight))
			u.loadReportedAt = now
		}
		if !o.Reported || float64(o.Running+o.Waiting) <= u.slots() {
			u.recordFailure(now, shedFailureWeight, false)
		}
	case WrongUpstream, NotSent:
		u.recordFailure(now, 1, true)
	case Failed, TimedOut:
		u.recordFailure(now, 1, o.UpstreamDied)
	case Canceled:
	}
	return c
}

// disrupt records a failure after which load may move between regions.
func (t *Table) disrupt(now time.Time) {
	for _, s := range t.services {
		s.disruptedAt = now
	}
}

// recordRTT updates the round-trip time with the one of the attempt's connection. A
// response that took less time shows that the connection was opened more slowly.
func (u *upstream) recordRTT(o *Observation) {
	rtt := o.RTT
	if o.Outcome == Answered {
		rtt = min(rtt, o.Latency)
		if o.Basis.remeasures {
			u.rtt = ewma{}
		}
	}
	if rtt > 0 {
		u.rtt.add(rtt.Seconds(), latencyWindow)
	}
}

// recordLatency updates the latency and the service times with a response.
func (t *Table) recordLatency(now time.Time, u *upstream, o *Observation) {
	u.latency.add(o.Latency.Seconds(), latencyWindow)
	b := &o.Basis
	if b.serviceSeconds <= 0 {
		return
	}
	seconds := max(minServiceSeconds, o.Latency.Seconds()-u.rttSeconds())
	s := t.service(u.info.Service)
	work := &s.work
	if b.remeasures {
		u.slowness = slowness{}
	}
	slowness := u.slowness.value(now, work)
	s.hedging.record(work, o, seconds/slowness)
	work.add(now, b, seconds, slowness)
	if !b.remeasures {
		u.slowness.add(now, b, seconds)
	}
	if b.affinityKey != 0 {
		u.known.add(b.affinityKey)
	}
}

// AllowRetry reports whether the retry budget of a service allows one more
// attempt, and consumes it from the budget.
func (t *Table) AllowRetry(now time.Time, name string) bool {
	s := t.service(name)
	if !t.takeRetry(now, s) {
		s.scarceAt = now
		return false
	}
	return true
}

// takeRetry consumes one attempt from the retry budget of a service, if it has one.
func (t *Table) takeRetry(now time.Time, s *service) bool {
	s.retryBudget.refill(now, t.retryBudgetSize()/t.cfg.RetryWindow.Seconds()/2, t.retryBudgetSize())
	if s.retryBudget.tokens < 1 {
		return false
	}
	s.retryBudget.tokens--
	return true
}

// RecordRequest adds RetryRatio to the retry budget of a service, and half of it to the
// one for AllowLinkCopy.
func (t *Table) RecordRequest(now time.Time, name string) {
	s := t.service(name)
	s.retryBudget.refill(now, t.retryBudgetSize()/t.cfg.RetryWindow.Seconds()/2, t.retryBudgetSize())
	s.retryBudget.tokens = min(t.retryBudgetSize(), s.retryBudget.tokens+t.cfg.RetryRatio)
	s.copies.forget(now, t.cfg.RetryWindow)
	s.copies.tokens += t.cfg.RetryRatio / 2
}

// retryBudgetSize is the size of the token bucket for retries: two thirds of this
// host's share of MinRetries, but at least 1. Half of the size is refilled per
// RetryWindow, so a full bucket and the refill of one window add up to the share.
func (t *Table) retryBudgetSize() float64 {
	return max(1, t.cfg.MinRetries/1.5/float64(t.numHosts()))
}

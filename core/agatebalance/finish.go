package agatebalance

import "time"

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: a whole answer arrived that is no failure.
	Answered Outcome = iota
	// Shed: the upstream stated that it did not run the request.
	Shed
	// Moved: another upstream has the address.
	Moved
	// Unreachable: nothing was written.
	Unreachable
	// Failed: the upstream answered with a failure, or the answer broke.
	Failed
	// TimedOut: no answer came in the time allowed.
	TimedOut
	// Canceled: this side gave the attempt up; nothing is learned.
	Canceled
)

// shedWeight is how much an attempt that was shed counts as a failure: a full
// upstream is no broken one, but one that sheds always is of no use.
const shedWeight = 0.5

// Observation is how one attempt ended.
type Observation struct {
	Outcome Outcome
	// Latency is the time from Start to the end of the attempt.
	Latency time.Duration
	// Travel is the network's round trip as measured when the connection was
	// opened, or zero.
	Travel time.Duration
	// Running and Waiting are the load that the answer reports, if Reported.
	Reported         bool
	Running, Waiting int
	// Died says that the upstream's process ended during the attempt.
	Died bool
}

// Start notes that a request is sent to an upstream.
func (t *Table) Start(now time.Time, id string) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	u.own++
	if now.Before(u.coldUntil) {
		u.coldTake.level--
	}
}

// Finish notes the end of an attempt.
func (t *Table) Finish(now time.Time, id string, o Observation) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	u.own = max(0, u.own-1)
	if o.Travel > 0 {
		u.travel.add(o.Travel.Seconds(), latencyWindow)
	}
	if o.Reported {
		u.report(now, o.Running, o.Waiting)
	}
	if o.Outcome == Moved {
		t.service(u.row.Service).failedAt = now
	}
	switch o.Outcome {
	case Answered:
		u.succeeded()
		t.learnWork(now, u, &o)
	case Shed:
		if !o.Reported {
			u.others.mean = max(u.others.mean, u.slots()*queueMost-float64(u.own))
			u.reportAt = now
		}
		u.failed(now, shedWeight, false)
	case Moved, Unreachable:
		u.failed(now, 1, true)
	case Failed, TimedOut:
		u.failed(now, 1, o.Died)
	case Canceled:
	}
}

// learnWork learns work times from an answer.
func (t *Table) learnWork(now time.Time, u *upstream, o *Observation) {
	work := max(0.0005, o.Latency.Seconds()-u.way())
	u.latency.add(o.Latency.Seconds(), latencyWindow)
	u.work.add(work, workShare)
	u.workAt = now
	t.service(u.row.Service).work.add(work, workShare)
}

// Retry reports whether the budget allows one more attempt at a service, and
// takes it from the budget.
func (t *Table) Retry(now time.Time, name string) bool {
	s := t.service(name)
	s.retries.fill(now, t.retrySlack()/t.cfg.RetryWindow.Seconds()/2, t.retrySlack())
	if s.retries.level < 1 {
		return false
	}
	s.retries.level--
	return true
}

// Arrived counts a request towards the retry budget of a service.
func (t *Table) Arrived(now time.Time, name string) {
	s := t.service(name)
	s.retries.fill(now, t.retrySlack()/t.cfg.RetryWindow.Seconds()/2, t.retrySlack())
	s.retries.level = min(t.retrySlack(), s.retries.level+t.cfg.RetryShare)
}

// retrySlack is this host's part of the budget that does not depend on the
// number of requests. Half of it comes back in a window, so that it and a full
// bucket stay within it.
func (t *Table) retrySlack() float64 {
	return max(1, t.cfg.RetrySlack/1.5/float64(max(1, len(t.hosts))))
}

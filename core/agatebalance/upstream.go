package agatebalance

import (
	"math"
	"time"
)

const (
	// ejectAfter is the number of failures in a row from which an upstream
	// gets no requests for a while.
	ejectAfter = 3
	// ejectFirst and ejectMost bound that time, which doubles each time.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// failWindow is the number of attempts over which failures are averaged.
	failWindow = 12
	// failLife is the time constant with which failures are forgotten.
	failLife = 2 * time.Second
	// latencyWindow is the number of answers over which latency is averaged.
	latencyWindow = 16
	// loadWindow is the number of reports over which the load from other hosts
	// is averaged; one report alone is the chance of a moment.
	loadWindow = 3
	// reportFresh is how long a reported load counts in full, and reportLife
	// the time constant with which it is forgotten afterwards.
	reportFresh = time.Second
	reportLife  = time.Second
	// ratioLife is the time constant with which the speed of an upstream that
	// gives no answers returns to normal, so that it is tried again.
	ratioLife = 3 * time.Second
	// slowFrom is the ratio of work times from which an upstream counts as
	// slow; below, the difference is that of the objects.
	slowFrom = 1.8
	// workShare is the quantile of answer times that stands for the work on an
	// object that is known, without a wait.
	workShare = 0.3
	// workStep is the step of the estimate of that quantile, as a share of it.
	workStep = 0.05
	// firstWork stands in for the work time before there are answers, in
	// seconds.
	firstWork = 0.08
	// lapsedUse is how long after its last answer an upstream that the control
	// group does not hear is used like the others.
	lapsedUse = 3 * time.Second
	// coldHosts is the number of hosts that may send to a cold upstream. More
	// would each get less than a request a second.
	coldHosts = 4
)

// ewma is an exponentially weighted mean.
type ewma struct {
	mean float64
	n    int
}

// add weighs x with 1/window, or with 1/n for the first values.
func (e *ewma) add(x float64, window int) {
	e.n = min(e.n+1, window)
	e.mean += (x - e.mean) / float64(e.n)
}

// quantile estimates a quantile of a stream of values.
type quantile struct {
	value float64
	n     int
}

// add moves the estimate by a small step towards the quantile at share.
func (q *quantile) add(x, share float64) {
	q.n++
	if q.n == 1 {
		q.value = x
		return
	}
	step := workStep * q.value
	if x > q.value {
		q.value += step * share
	} else {
		q.value -= step * (1 - share)
	}
}

// upstream is one upstream of the table.
type upstream struct {
	row    Row
	region string
	near   bool // in the failure domain of this host
	local  bool // in the region of this host

	own int // requests in flight from this host
	// others is the load that other hosts cause, as reported.
	others   ewma
	reportAt time.Time

	work    quantile // seconds
	workAt  time.Time
	latency ewma // seconds
	travel  ewma // seconds there and back

	failing      ewma // share of failed attempts
	failedAt     time.Time
	failures     int // in a row
	ejections    int // in a row
	ejectedUntil time.Time

	coldUntil time.Time
	coldRank  int
	coldTake  bucket
}

func newUpstream(id string) *upstream {
	return &upstream{row: Row{ID: id}}
}

// slots is the number of requests that run there at once.
func (u *upstream) slots() float64 { return float64(max(1, u.row.Slots)) }

// load is the number of requests that are probably running or waiting there.
func (u *upstream) load(now time.Time) float64 {
	old := now.Sub(u.reportAt) - reportFresh
	if old <= 0 {
		return float64(u.own) + u.others.mean
	}
	return float64(u.own) + u.others.mean*math.Exp(-old.Seconds()/reportLife.Seconds())
}

// report takes a load that the upstream told with an answer.
func (u *upstream) report(now time.Time, running, waiting int) {
	u.others.add(max(0, float64(running+waiting-u.own)), loadWindow)
	u.reportAt = now
}

// slowness is the work time in units of what is usual for the service, or 1.
// It returns to 1 while no answers come.
func (u *upstream) slowness(now time.Time, s *service) float64 {
	if u.work.n < 5 || s.work.value <= 0 {
		return 1
	}
	ratio := u.work.value / s.work.value
	if ratio < slowFrom {
		return 1
	}
	return 1 + (ratio-1)*math.Exp(-now.Sub(u.workAt).Seconds()/ratioLife.Seconds())
}

// silent reports whether neither the control group nor this host heard from
// the upstream lately.
func (u *upstream) silent(now time.Time) bool {
	return u.row.Lapsed && now.Sub(u.workAt) > lapsedUse
}

// failShare is the share of failed attempts. It fades while there are none, so
// that an upstream that failed is tried again.
func (u *upstream) failShare(now time.Time) float64 {
	return u.failing.mean * math.Exp(-now.Sub(u.failedAt).Seconds()/failLife.Seconds())
}

// failed counts a failure and ejects the upstream after some in a row.
func (u *upstream) failed(now time.Time, weight float64, sure bool) {
	u.failing.mean = u.failShare(now)
	u.failing.add(weight, failWindow)
	u.failedAt = now
	if weight < 1 {
		return
	}
	u.failures++
	if u.failures >= ejectAfter || sure {
		pause := min(ejectMost, ejectFirst<<min(u.ejections, 4))
		u.ejections++
		u.ejectedUntil = now.Add(pause)
	}
}

func (u *upstream) succeeded() {
	u.failing.add(0, failWindow)
	u.failures = 0
	u.ejections = 0
	u.ejectedUntil = time.Time{}
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds what has come since the last call. A new bucket is full.
func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// service is what the table knows of a service.
type service struct {
	name      string
	upstreams []*upstream // by identity
	// bonus is that of this region's upstreams for the fleet as it is.
	bonus      float64
	bonusKnown bool
	work       quantile // seconds
	retries    bucket
	// failedAt is when an upstream last left, fell silent or lost its address,
	// or an evacuation began or ended.
	failedAt time.Time
}

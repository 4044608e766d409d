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
	// latencyWindow is the number of answers over which latency is averaged.
	latencyWindow = 16
	// reportLife is the time constant with which a reported load is forgotten:
	// about the time in which the queue that it tells of has been served.
	reportLife = 300 * time.Millisecond
	// ratioLife is the time constant with which the speed of an upstream that
	// gives no answers returns to normal, so that it is tried again.
	ratioLife = 3 * time.Second
	// knownLife is how long an upstream is taken to know an object after this
	// host sent it a request on it.
	knownLife = 15 * time.Second
	// knownMost bounds the objects remembered for an upstream.
	knownMost = 1024
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

// upstream is one upstream of the table.
type upstream struct {
	row    Row
	region string
	near   bool // in the failure domain of this host
	local  bool // in the region of this host

	own int // requests in flight from this host
	// others is the load that other hosts cause, as last reported.
	others   float64
	reportAt time.Time

	// ratio is the work time in units of what is usual for the service.
	ratio   ewma
	ratioAt time.Time
	latency ewma // seconds
	travel  ewma // seconds there and back

	failing      ewma // share of failed attempts
	failures     int  // in a row
	ejections    int  // in a row
	ejectedUntil time.Time

	coldUntil time.Time
	coldRank  int
	coldTake  bucket

	known map[uint64]time.Time
}

func newUpstream(id string) *upstream {
	return &upstream{row: Row{ID: id}, known: map[uint64]time.Time{}}
}

// load is the number of requests that are probably running or waiting there.
func (u *upstream) load(now time.Time) float64 {
	if u.others <= 0 {
		return float64(u.own)
	}
	fade := math.Exp(-now.Sub(u.reportAt).Seconds() / reportLife.Seconds())
	return float64(u.own) + u.others*fade
}

// report takes a load that the upstream told with an answer. own is this
// host's part of it, the answered request not included.
func (u *upstream) report(now time.Time, running, waiting int) {
	u.others = max(0, float64(running+waiting-u.own))
	u.reportAt = now
}

// slowness is the ratio, which returns to 1 while no answers come.
func (u *upstream) slowness(now time.Time) float64 {
	if u.ratio.n < 3 {
		return 1
	}
	fade := math.Exp(-now.Sub(u.ratioAt).Seconds() / ratioLife.Seconds())
	return 1 + (u.ratio.mean-1)*fade
}

// knows reports whether this host sent a request on an object lately.
func (u *upstream) knows(now time.Time, key uint64) bool {
	at, ok := u.known[key]
	return ok && now.Sub(at) < knownLife
}

func (u *upstream) learn(now time.Time, key uint64) {
	if len(u.known) >= knownMost {
		for k, at := range u.known {
			if now.Sub(at) > knownLife || len(u.known) >= knownMost {
				delete(u.known, k)
			}
		}
	}
	u.known[key] = now
}

// failed counts a failure and ejects the upstream after some in a row.
func (u *upstream) failed(now time.Time, weight float64, sure bool) {
	u.failing.add(weight, failWindow)
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
	// warm and cold are the work times on upstreams that know the object and
	// on others, in seconds; all is the mean of both.
	warm, cold, all ewma
	retries         bucket
}

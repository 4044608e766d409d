package agateroute

import "time"

const (
	// ejectFailures is the number of failures in a row that ejects.
	ejectFailures = 5

	// ejectSlow is the ratio to the mean latency of the others that ejects.
	ejectSlow = 4.0

	// ejectEnough is the number of answers from which a latency may eject.
	ejectEnough = ratioEnough

	// ejectFirst is the first ejection time, which doubles with each ejection
	// up to ejectLongest.
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second

	// ejectForget is the time in service after which the next ejection is
	// short again.
	ejectForget = time.Minute
)

// ejection is the outlier state of an upstream.
type ejection struct {
	until time.Time
	times int
}

// active reports whether the upstream is ejected now.
func (e *ejection) active(now time.Time) bool {
	return now.Before(e.until)
}

// next is the length of the next ejection.
func (e *ejection) next() time.Duration {
	return min(ejectFirst<<min(e.times, 8), ejectLongest)
}

// ejectSlow ejects an upstream whose latency is far above the others'.
func (t *Table) ejectSlow(now time.Time, u *upstream) {
	if u.latency.n < ejectEnough {
		return
	}
	sum, n := 0.0, 0
	others := u.group.upstreams
	for i := 0; i < min(len(others), scanLimit); i++ {
		if v := others[i]; v != u && v.latency.n >= ratioEnough {
			sum += v.latency.mean
			n++
		}
	}
	if n > 0 && u.latency.mean > ejectSlow*sum/float64(n) {
		t.eject(now, u, EventEjectSlow)
	}
}

// eject takes an upstream out for a while, unless too many are out already.
// It returns through a ramp.
func (t *Table) eject(now time.Time, u *upstream, kind EventKind) {
	if u.eject.active(now) || !t.mayEject(now, u.group) {
		return
	}
	if now.Sub(u.eject.until) > ejectForget {
		u.eject.times = 0
	}
	long := u.eject.next()
	u.eject.times++
	u.eject.until = now.Add(long)
	u.ejected = true
	u.clearFailures()
	u.latency = ewma{}
	u.ramp = ramp{open: 1}
	t.note(u.event(kind, long))
}

// mayEject reports whether one more ejection stays within the fraction.
func (t *Table) mayEject(now time.Time, g *group) bool {
	out := 1
	for _, u := range g.upstreams {
		if u.eject.active(now) {
			out++
		}
	}
	return float64(out) <= t.ejectShare()*float64(len(g.upstreams))
}

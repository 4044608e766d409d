package agateroute

import "time"

const (
	// ejectFailureThreshold is the number of consecutive failures that ejects an
	// upstream.
	ejectFailureThreshold = 5

	// ejectSlowRatio is the ratio to the mean latency of the other upstreams that
	// ejects an upstream.
	ejectSlowRatio = 4.0

	// ejectMinSamples is the number of responses before an upstream can be
	// ejected for its latency.
	ejectMinSamples = minMeanSamples

	// minEjectionTime is the duration of the first ejection. It doubles with each
	// further ejection up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second

	// ejectionResetTime is the time in service after which the next ejection
	// lasts minEjectionTime again.
	ejectionResetTime = time.Minute
)

// ejection is the outlier ejection state of an upstream.
type ejection struct {
	until time.Time
	count int
}

func (e *ejection) active(now time.Time) bool {
	return now.Before(e.until)
}

func (e *ejection) nextDuration() time.Duration {
	// The bound of 8 prevents an overflow of the shift.
	return min(minEjectionTime<<min(e.count, 8), maxEjectionTime)
}

// ejectIfSlow ejects an upstream whose latency is far above the mean of the
// others in its group.
func (t *Table) ejectIfSlow(now time.Time, u *upstream) {
	if u.latency.samples < ejectMinSamples {
		return
	}
	sum, n := 0.0, 0
	upstreams := u.group.upstreams
	for i := 0; i < min(len(upstreams), maxScanned); i++ {
		if v := upstreams[i]; v != u && v.latency.samples >= minMeanSamples {
			sum += v.latency.mean
			n++
		}
	}
	if n > 0 && u.latency.mean > ejectSlowRatio*sum/float64(n) {
		t.eject(now, u, EventEjectSlow)
	}
}

// eject removes an upstream from selection for a limited time, unless too many
// upstreams of its group are ejected already. After the ejection the upstream
// starts with a cold-start ramp.
func (t *Table) eject(now time.Time, u *upstream, kind EventKind) {
	if u.ejection.active(now) || !t.mayEject(now, u.group) {
		return
	}
	if now.Sub(u.ejection.until) > ejectionResetTime {
		u.ejection.count = 0
	}
	duration := u.ejection.nextDuration()
	u.ejection.count++
	u.ejection.until = now.Add(duration)
	u.ejected = true
	u.clearFailures()
	u.latency = ewma{}
	u.ramp = ramp{limit: 1}
	t.addEvent(u.newEvent(kind, duration))
}

// mayEject reports whether one more ejection stays within the maximum share of
// ejected upstreams.
func (t *Table) mayEject(now time.Time, g *group) bool {
	ejected := 1
	for _, u := range g.upstreams {
		if u.ejection.active(now) {
			ejected++
		}
	}
	return float64(ejected) <= t.maxEjectedShare()*float64(len(g.upstreams))
}

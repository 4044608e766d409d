package agatebalance

import (
	"math"
	"time"
)

const (
	// overflowWindowSeconds is the time constant over which the remote share is
	// measured, and overflowMinRequests the number of requests from which the
	// share is meaningful.
	overflowWindowSeconds = 1.5
	overflowMinRequests   = 20.0
	// maxBaselineSlope is the largest change of the baseline per second. The share
	// may exceed the baseline by maxAboveBaseline and fall short of it by
	// maxBelowBaseline. Users require that at most 15% of a region's requests move
	// to other regions within 2 s while nothing fails. A smaller maxBelowBaseline
	// sends more objects to upstreams that do not have them cached while load is
	// low.
	maxBaselineSlope = 0.03
	maxAboveBaseline = 0.04
	maxBelowBaseline = 0.07
	// disruptionPeriod is the time after a disruption in which load may move
	// freely between regions.
	disruptionPeriod = 15 * time.Second
	// settleAfter is the time after the first request in which load may move
	// freely between regions, since no upstream has cached an object yet.
	settleAfter = 3 * time.Second
)

// overflow measures the share of this host's requests that are sent to other
// regions and limits how fast the share changes while nothing fails. When load
// rises, the local upstreams fill first. Without the limit, the remote share would
// then multiply within a second, and upstreams that do not have the objects cached
// would get these requests.
type overflow struct {
	startedAt, updatedAt time.Time
	total, remote        float64 // recent requests, and those sent to other regions
	baseline             float64 // follows the share, by at most maxBaselineSlope
}

// advance decays the counts and moves the baseline towards the share. If unlimited
// is set, the baseline jumps to the share.
func (o *overflow) advance(now time.Time, unlimited bool) {
	if o.startedAt.IsZero() {
		o.startedAt, o.updatedAt = now, now
	}
	dt := now.Sub(o.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	o.updatedAt = now
	decay := math.Exp(-dt / overflowWindowSeconds)
	o.total *= decay
	o.remote *= decay
	if o.total < overflowMinRequests {
		return
	}
	share := o.remote / o.total
	if unlimited {
		o.baseline = share
		return
	}
	step := maxBaselineSlope * dt
	o.baseline += min(max(share-o.baseline, -step), step)
}

// record counts a request that is sent.
func (o *overflow) record(remote bool) {
	o.total++
	if remote {
		o.remote++
	}
}

// settled reports whether the first request was more than settleAfter ago.
func (o *overflow) settled(now time.Time) bool {
	return !o.startedAt.IsZero() && now.Sub(o.startedAt) > settleAfter
}

// deviation is the difference between the share and the baseline.
func (o *overflow) deviation() float64 {
	if o.total < overflowMinRequests {
		return 0
	}
	return o.remote/o.total - o.baseline
}

// tooHigh reports whether no more requests may be sent to other regions, and
// tooLow whether some must be, so that the share does not fall too fast.
func (o *overflow) tooHigh() bool { return o.deviation() > maxAboveBaseline }
func (o *overflow) tooLow() bool  { return o.deviation() < -maxBelowBaseline }

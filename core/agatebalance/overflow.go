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
	// overflowSlope is the largest change of the baseline per second. The share
	// may be above the baseline by maxOverflowRise and below by maxOverflowDrop.
	// At most 15% of a region's requests may move to other regions within 2 s. A
	// smaller maxOverflowDrop sends more objects to upstreams that do not have
	// them cached while load is low.
	overflowSlope   = 0.03
	maxOverflowRise = 0.04
	maxOverflowDrop = 0.07
	// disruptionPeriod is the time after a disruption in which load may move
	// freely between regions.
	disruptionPeriod = 15 * time.Second
	// settleAfter is the time after the first request in which load may move
	// freely between regions, since no upstream has cached an object yet.
	settleAfter = 3 * time.Second
)

// overflow measures the share of this host's requests that are sent to other
// regions and limits how fast the share changes while nothing fails. Without the
// limit, the local upstreams fill first when load rises, and the remote share
// multiplies within a second, to upstreams that do not have the objects cached.
type overflow struct {
	startedAt, updatedAt time.Time
	total, remote        float64 // recent requests, and those sent to other regions
	baseline             float64 // follows the share, by at most overflowSlope
}

// advance decays the counts and moves the baseline towards the share. If free is
// set, load may move freely and the baseline jumps to the share.
func (o *overflow) advance(now time.Time, free bool) {
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
	if free {
		o.baseline = share
		return
	}
	step := overflowSlope * dt
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
func (o *overflow) tooHigh() bool { return o.deviation() > maxOverflowRise }
func (o *overflow) tooLow() bool  { return o.deviation() < -maxOverflowDrop }

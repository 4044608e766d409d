package agatebalance

import (
	"math"
	"time"
)

const (
	// overflowWindowSeconds is the time constant over which the share of requests
	// that prefer to leave their region is measured.
	overflowWindowSeconds = 1.5
	// maxLevelSlope is the largest change of overflow.level per second. The share of
	// requests that leave their region may exceed the level by overflowTolerance.
	// Users require that at most 15% of a region's requests move to other regions
	// within 2 s while nothing fails.
	maxLevelSlope     = 0.02
	overflowTolerance = 0.02
	// overflowBurst is the number of requests by which one host may be ahead of the
	// level.
	overflowBurst = 4.0
	// disruptionPeriod is the time after a disruption in which load may move
	// freely between regions.
	disruptionPeriod = 15 * time.Second
)

// overflow limits how fast the share of a service's requests rises that run outside
// their home region, which is the region of the first upstream in the preference
// order that is not down. Homes do not depend on load, so only overflow moves
// requests between regions when load changes. Without the limit, the share would
// multiply within a second when the upstreams of a region fill.
//
// The limit counts single requests instead of measuring a share, so that it holds
// for the sum of all hosts of a region, however few requests each of them gets.
type overflow struct {
	updatedAt     time.Time
	total, wanted float64 // recent requests, and those that preferred to leave
	level         float64 // follows the share of wanted, by at most maxLevelSlope
	// allowed is the number of requests that may leave now. Each request adds the
	// level and the tolerance, and each one that leaves subtracts 1.
	allowed float64
}

// advance decays the counts and moves the level towards the share of requests that
// prefer to leave. If unlimited is set, the level jumps to the share.
func (o *overflow) advance(now time.Time, unlimited bool) {
	if o.updatedAt.IsZero() {
		o.updatedAt = now
	}
	dt := now.Sub(o.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	o.updatedAt = now
	decay := math.Exp(-dt / overflowWindowSeconds)
	o.total *= decay
	o.wanted *= decay
	share := o.wanted / max(1, o.total)
	if unlimited {
		o.level = share
		return
	}
	step := maxLevelSlope * dt
	o.level += min(max(share-o.level, -step), step)
}

// want counts a request that some upstream has room for, by whether it prefers to
// leave its home region.
func (o *overflow) want(leave bool) {
	o.total++
	if leave {
		o.wanted++
	}
}

// record counts a request that is sent, by whether it leaves its home region.
// Rejected requests and the first attempts of retries do not count: under overload
// they would raise the share among the others.
func (o *overflow) record(left, retry bool) {
	if !retry {
		o.allowed = min(overflowBurst, o.allowed+o.level+overflowTolerance)
	}
	if left {
		o.allowed = max(-overflowBurst, o.allowed-1)
	}
}

// mayLeave reports whether a request may be sent to another region than its home.
func (o *overflow) mayLeave() bool { return o.allowed >= 1 }

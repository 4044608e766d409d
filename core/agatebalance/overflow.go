package agatebalance

import (
	"math"
	"time"
)

const (
	// overflowWindow is the time over which shares are taken, and overflowLeast
	// the number of requests from which they say something.
	overflowWindow = 1.5 // seconds
	overflowLeast  = 20.0
	// overflowSlope is how fast the level follows the share, per second,
	// overflowSlack how far the share may be above the level, and overflowLack
	// how far below. Users allow that 15% of a region's requests move within
	// 2 s. Less room below sends more objects to upstreams that do not know
	// them while load is low.
	overflowSlope = 0.03
	overflowSlack = 0.04
	overflowLack  = 0.07
	// quietAfter is how long after a failure load may move freely.
	quietAfter = 15 * time.Second
	// settleAfter is the time after the first request in which load may move
	// freely, since no upstream knows an object yet.
	settleAfter = 3 * time.Second
)

// overflow is the share of this host's requests that run in another region. It bounds how fast that share changes while nothing fails:
// when load rises, the upstreams here fill first, and what goes elsewhere would
// multiply within a second, to upstreams that do not know its objects.
type overflow struct {
	begun, at  time.Time
	asked, far float64 // requests sent lately, and those to other regions
	level      float64 // the share, followed at overflowSlope
}

// fill lets time pass. While load may move freely, the level follows at once.
func (o *overflow) fill(now time.Time, free bool) {
	if o.begun.IsZero() {
		o.begun, o.at = now, now
	}
	dt := now.Sub(o.at).Seconds()
	if dt <= 0 {
		return
	}
	o.at = now
	keep := math.Exp(-dt / overflowWindow)
	o.asked *= keep
	o.far *= keep
	if o.asked < overflowLeast {
		return
	}
	share := o.far / o.asked
	if free {
		o.level = share
		return
	}
	step := overflowSlope * dt
	o.level += min(max(share-o.level, -step), step)
}

// note takes in one request that is sent.
func (o *overflow) note(far bool) {
	o.asked++
	if far {
		o.far++
	}
}

// settled reports whether the host has had requests for a while.
func (o *overflow) settled(now time.Time) bool {
	return !o.begun.IsZero() && now.Sub(o.begun) > settleAfter
}

// off is how far the share is above the level.
func (o *overflow) off() float64 {
	if o.asked < overflowLeast {
		return 0
	}
	return o.far/o.asked - o.level
}

// full reports whether no more requests may run elsewhere, and lacking whether
// some must, so that the share does not fall too fast.
func (o *overflow) full() bool    { return o.off() > overflowSlack }
func (o *overflow) lacking() bool { return o.off() < -overflowLack }

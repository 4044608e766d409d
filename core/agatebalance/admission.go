package agatebalance

import (
	"math"
	"time"
)

const (
	// homeWindowSeconds is the time constant over which the shares of the home
	// regions among arriving requests are measured, and roomWindowSeconds the one
	// of the share of them for which there is room.
	homeWindowSeconds = 4.0
	roomWindowSeconds = 0.05
	// homeTolerance is how much larger the share of a home region among accepted
	// requests may be than among arriving ones, for all home regions together. It
	// and the change of the overflow add up to less than the 15% of a region's
	// requests that may move within 2 s.
	homeTolerance = 0.04
	// homeBurst is the number of requests that one host may accept at once.
	homeBurst = 2.0
	// minHomeArrived is the decayed number of requests below which a home region is
	// forgotten, some 30 s after its last request. Otherwise its counts would become
	// 0 and the limits undefined until its next one.
	minHomeArrived = 0.001
	// homeUpdateInterval is how often the limits are computed.
	homeUpdateInterval = 50 * time.Millisecond
	// homeIterations is the number of steps of the fixed-point iteration that
	// computes the limits.
	homeIterations = 8
)

// homeShares keeps the mix of home regions among accepted requests close to the
// one among arriving requests. It answers floods in which the upstreams of one
// region are full and those of another are not: without it, most of the requests
// that are still accepted would be the ones with their home elsewhere, and the
// requests would move between regions when the flood begins and ends.
type homeShares struct {
	updatedAt, limitedAt time.Time
	homes                map[string]*homeShare
}

// homeShare is the state of one home region.
type homeShare struct {
	arrived        float64 // requests of the last seconds
	recent, roomed float64 // requests of the last moments, and those for which there was room
	// limit is the share of the requests that may be accepted, and allowed the
	// number that may be accepted now.
	limit, allowed float64
}

// arrive counts an arriving request by its home region, and whether there is room
// for it.
func (h *homeShares) arrive(now time.Time, home string, room bool) {
	s := h.home(now, home)
	s.arrived++
	s.recent++
	if room {
		s.roomed++
	}
	if now.Sub(h.limitedAt) >= homeUpdateInterval {
		h.updateLimits()
		h.limitedAt = now
	}
	s.allowed = min(homeBurst, s.allowed+s.limit)
}

// revoke corrects the counts for a request that was accepted but shed by its
// upstream, and that is rejected now.
func (h *homeShares) revoke(now time.Time, home string) {
	s := h.home(now, home)
	s.roomed = max(0, s.roomed-1)
	s.allowed = min(homeBurst, s.allowed+1)
}

// home returns the state of a home region at a time.
func (h *homeShares) home(now time.Time, name string) *homeShare {
	if dt := now.Sub(h.updatedAt).Seconds(); dt > 0 {
		h.decay(dt)
		h.updatedAt = now
	}
	if h.homes == nil {
		h.homes = map[string]*homeShare{}
	}
	s := h.homes[name]
	if s == nil {
		s = &homeShare{allowed: homeBurst, limit: 1}
		h.homes[name] = s
	}
	return s
}

// decay decays the counts by dt seconds and forgets home regions without requests.
func (h *homeShares) decay(dt float64) {
	d, recent := math.Exp(-dt/homeWindowSeconds), math.Exp(-dt/roomWindowSeconds)
	for name, s := range h.homes {
		s.arrived *= d
		if s.arrived < minHomeArrived {
			delete(h.homes, name)
		}
		s.recent *= recent
		s.roomed *= recent
	}
}

// updateLimits computes the largest limits with which the share of each home region
// among accepted requests exceeds its share among arriving requests by no more than
// its part of homeTolerance. The home region with the least room has no limit: a
// limit there would leave room that the next request finds, and the room would
// appear to be larger than it is.
func (h *homeShares) updateLimits() {
	total, least := 0.0, 1.0
	for _, s := range h.homes {
		total += s.arrived
		s.limit = 1
		least = min(least, s.room())
	}
	tolerance := homeTolerance / float64(len(h.homes))
	for range homeIterations {
		accepted := 0.0
		for _, s := range h.homes {
			accepted += s.arrived / total * min(s.limit, s.room())
		}
		for _, s := range h.homes {
			if s.room() > least {
				s.limit = min(1, accepted*(1+tolerance*total/s.arrived))
			}
		}
	}
}

// room is the share of the region's recent requests for which there was room.
func (s *homeShare) room() float64 { return s.roomed / s.recent }

// accept reports whether a request with the given home region may be accepted, and
// counts it if so.
func (h *homeShares) accept(home string) bool {
	s := h.homes[home]
	if s.allowed < 1 {
		return false
	}
	s.allowed--
	return true
}

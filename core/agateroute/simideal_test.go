package agateroute

import (
	"math"
	"time"

	"agategate/core/agateinventory"
)

// idealGroup is a single queue in front of all slots of a service in a region,
// as an upper bound for any policy. It knows the service time of each request,
// has no network latency in the region, and uses the read turn and the shift
// limits of the Table.
type idealGroup struct {
	slots       int
	busy        int
	waiting     [2][]*simRequest
	turn        int
	utilization meanUtilization
}

func (s *sim) idealGroup(service, region int) *idealGroup {
	if s.idealGroups == nil {
		s.idealGroups = map[[2]int]*idealGroup{}
	}
	k := [2]int{service, region}
	if s.idealGroups[k] == nil {
		s.idealGroups[k] = &idealGroup{slots: s.deployment.slotsOf(region)}
	}
	return s.idealGroups[k]
}

// idealReceive starts, queues or shifts a request.
func (s *sim) idealReceive(r *simRequest) {
	if r.crashesUpstream {
		return
	}
	g := s.idealGroup(r.service, r.home)
	if g.busy < g.slots {
		s.idealStart(g, r, 0)
		return
	}
	wait := time.Duration(len(g.waiting[0])+len(g.waiting[1])) * s.deployment.serviceTime / time.Duration(max(1, g.slots))
	if wait > 2*crossRegionLatency || g.slots == 0 {
		if s.idealShift(r) || g.slots == 0 {
			return
		}
	}
	g.waiting[r.Class] = append(g.waiting[r.Class], r)
}

// idealShift sends a request to another region below the target utilization.
func (s *sim) idealShift(r *simRequest) bool {
	for i := range simRegions {
		g := s.idealGroup(r.service, i)
		g.utilization.update(s.time(), float64(g.busy), float64(g.slots))
		if i == r.home || g.busy >= g.slots || g.utilization.mean > agateinventory.DefaultTargetUtilization {
			continue
		}
		if s.grant(r.service, r.home, i) {
			s.result.shiftCount++
			s.idealStart(g, r, 2*crossRegionLatency)
			return true
		}
	}
	return false
}

func (s *sim) idealStart(g *idealGroup, r *simRequest, travel time.Duration) {
	g.utilization.update(s.time(), float64(g.busy), float64(g.slots))
	g.busy++
	s.after(r.serviceTime, func() {
		g.utilization.update(s.time(), float64(g.busy), float64(g.slots))
		g.busy--
		s.idealNext(g)
	})
	s.after(r.serviceTime+travel, func() { s.complete(r, s.now <= r.deadline) })
}

// idealNext starts queued requests and drops those that would be late.
func (s *sim) idealNext(g *idealGroup) {
	for g.busy < g.slots && len(g.waiting[0])+len(g.waiting[1]) > 0 {
		c := agateinventory.Action
		if len(g.waiting[0]) == 0 || (len(g.waiting[1]) > 0 && g.turn%turnCycle == readTurn) {
			c = agateinventory.Read
		}
		g.turn++
		r := g.waiting[c][0]
		g.waiting[c] = g.waiting[c][1:]
		if s.now+r.serviceTime <= r.deadline {
			s.idealStart(g, r, 0)
		}
	}
}

// addIdealSlots adds slots to a group, or removes them if n is negative.
func (s *sim) addIdealSlots(service, region, n int) {
	g := s.idealGroup(service, region)
	g.slots += n
	s.idealNext(g)
}

// meanUtilization is the mean share of slots in use with exponential decay, with
// the time constant of the Table.
type meanUtilization struct {
	updated time.Time
	mean    float64
}

// update accounts for the time since the last update, during which inFlight
// requests were in flight.
func (u *meanUtilization) update(now time.Time, inFlight, slots float64) {
	elapsed := now.Sub(u.updated)
	u.updated = now
	if elapsed <= 0 || slots <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	u.mean += (min(1, inFlight/slots) - u.mean) * weight
}

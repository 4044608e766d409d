package agateroute

import (
	"math"
	"time"

	"agategate/core/agateinventory"
)

// idealGroup is one queue in front of all slots of a service in a region. It
// knows the service time of each request, needs no network, and serves by the
// same turns and within the same caps as the product.
type idealGroup struct {
	slots   int
	busy    int
	waiting [2][]*simRequest
	turn    int
	used    utilisation
}

func (s *sim) idealGroup(service, region int) *idealGroup {
	if s.ideals == nil {
		s.ideals = map[[2]int]*idealGroup{}
	}
	k := [2]int{service, region}
	if s.ideals[k] == nil {
		s.ideals[k] = &idealGroup{slots: s.d.slotsOf(region)}
	}
	return s.ideals[k]
}

// idealTake starts, queues or shifts a request.
func (s *sim) idealTake(r *simRequest) {
	if r.crash {
		return
	}
	g := s.idealGroup(r.service, r.home)
	if g.busy < g.slots {
		s.idealStart(g, r, 0)
		return
	}
	wait := time.Duration(len(g.waiting[0])+len(g.waiting[1])) * s.d.mean / time.Duration(max(1, g.slots))
	if wait > 2*hopRegion || g.slots == 0 {
		if s.idealShift(r) || g.slots == 0 {
			return
		}
	}
	g.waiting[r.Class] = append(g.waiting[r.Class], r)
}

// idealShift sends a request to another region below the target utilisation.
func (s *sim) idealShift(r *simRequest) bool {
	for i := range simRegions {
		g := s.idealGroup(r.service, i)
		g.used.note(s.time(), float64(g.busy), float64(g.slots))
		if i == r.home || g.busy >= g.slots || g.used.mean > agateinventory.DefaultTargetUtilization {
			continue
		}
		if s.grant(r.service, r.home, i) {
			s.out.shiftCount++
			s.idealStart(g, r, 2*hopRegion)
			return true
		}
	}
	return false
}

func (s *sim) idealStart(g *idealGroup, r *simRequest, travel time.Duration) {
	g.used.note(s.time(), float64(g.busy), float64(g.slots))
	g.busy++
	s.at(r.work, func() {
		g.used.note(s.time(), float64(g.busy), float64(g.slots))
		g.busy--
		s.idealNext(g)
	})
	s.at(r.work+travel, func() { s.settle(r, s.now <= r.deadline) })
}

// idealNext serves the queue, without those that would be late.
func (s *sim) idealNext(g *idealGroup) {
	for g.busy < g.slots && len(g.waiting[0])+len(g.waiting[1]) > 0 {
		c := agateinventory.Action
		if len(g.waiting[0]) == 0 || (len(g.waiting[1]) > 0 && g.turn%turnCycle == readTurn) {
			c = agateinventory.Read
		}
		g.turn++
		r := g.waiting[c][0]
		g.waiting[c] = g.waiting[c][1:]
		if s.now+r.work <= r.deadline {
			s.idealStart(g, r, 0)
		}
	}
}

// idealSlots adds slots to a group or takes them away.
func (s *sim) idealSlots(service, region, n int) {
	g := s.idealGroup(service, region)
	g.slots += n
	s.idealNext(g)
}

// utilisation is the mean share of slots in use, weighted towards now like
// the product's estimate.
type utilisation struct {
	at   time.Time
	mean float64
}

// note accounts for the time since the last note, during which n requests
// were in flight at some slots.
func (u *utilisation) note(now time.Time, n, slots float64) {
	past := now.Sub(u.at)
	u.at = now
	if past <= 0 || slots <= 0 {
		return
	}
	weight := 1 - math.Exp(-past.Seconds()/meterTime.Seconds())
	u.mean += (min(1, n/slots) - u.mean) * weight
}

package agatebalance

import (
	"math"
	"slices"
)

// localMost is the largest share of a region's requests that its own upstreams
// are preferred for. A few go elsewhere in any case, since objects whose local
// upstreams are crowded find less crowded ones there.
const localMost = 0.85

// bonus is the number of places by which upstreams of this region stand
// further ahead in an object's order than their hash says. It is such that the
// region keeps its objects as far as its part of the slots reaches, and shares
// the rest with others. Callers count as spread evenly over the regions. The
// bonus depends on the fleet only, so that load moves no requests between
// regions.
//
// With a part f of the slots here, the first local upstream stands at a place
// that is distributed exponentially with mean 1/f, and the first other one with
// mean 1/(1-f); b places ahead, the local one comes first with the chance
// 1-(1-f)exp(-fb), which is solved for b.
func (t *Table) bonus(s *service) float64 {
	if s.bonusKnown {
		return s.bonus
	}
	here, all := 0.0, 0.0
	for _, u := range s.upstreams {
		if u.row.Draining || slices.Contains(t.evacuated, u.row.Domain) {
			continue
		}
		all += u.slots()
		if u.local {
			here += u.slots()
		}
	}
	s.bonusKnown = true
	s.bonus = 0
	if here == 0 || here == all {
		return 0
	}
	f := here / all
	share := min(localMost, f*float64(max(1, t.regionCount())))
	if share > f {
		s.bonus = -math.Log((1-share)/(1-f)) / f
	}
	return s.bonus
}

// regionCount is the number of regions of the deployment.
func (t *Table) regionCount() int {
	seen := map[string]bool{}
	for _, region := range t.cfg.Regions {
		seen[region] = true
	}
	return len(seen)
}

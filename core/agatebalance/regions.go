package agatebalance

import (
	"math"
	"slices"
)

// maxLocalReserve and localReserve determine the upper bound on the share of a region's
// objects that have a local upstream first in their preference order: 1 less
// localReserve/sqrt(n) with n local upstreams, but not less than 1 - maxLocalReserve. It
// stays below 1 because objects whose local upstreams are overloaded find less loaded
// ones elsewhere. With more upstreams, the load that falls to each of them by chance
// varies less in proportion to all of it.
const (
	maxLocalReserve = 0.15
	localReserve    = 0.6
)

// maxLocalShare is the bound for n local upstreams.
func maxLocalShare(n int) float64 {
	return 1 - min(maxLocalReserve, localReserve/math.Sqrt(float64(max(1, n))))
}

// localBonus is the number of ranks by which upstreams of this region move ahead
// in an object's preference order. The region thus keeps as many of its objects
// as its share of the slots can serve and shares the rest with other regions.
// Callers are assumed to be distributed evenly over the regions. The bonus
// depends only on the upstreams, so that load moves no requests between regions.
//
// Assuming upstreams with equal slots, of which a fraction f is local, the rank of
// the first local upstream is distributed approximately exponentially with mean
// 1/f, and that of the first remote one with mean 1/(1-f). With a bonus of b, the
// local one comes first with probability 1-(1-f)exp(-fb), which is solved for b.
func (t *Table) localBonus(s *service) float64 {
	if s.localBonusValid {
		return s.localBonus
	}
	local, total, numLocal := 0.0, 0.0, 0
	for _, u := range s.upstreams {
		if u.draining() || slices.Contains(t.evacuated, u.info.Domain) {
			continue
		}
		total += u.slots()
		if u.local {
			numLocal++
			local += u.slots()
		}
	}
	s.localBonusValid = true
	s.localBonus = 0
	if local == 0 || local == total {
		return 0
	}
	f := local / total
	share := min(maxLocalShare(numLocal), f*float64(max(1, t.regionCount())))
	if share > f {
		s.localBonus = -math.Log((1-share)/(1-f)) / f
	}
	return s.localBonus
}

// regionCount is the number of distinct regions in Config.Regions.
func (t *Table) regionCount() int {
	seen := map[string]bool{}
	for _, region := range t.cfg.Regions {
		seen[region] = true
	}
	return len(seen)
}

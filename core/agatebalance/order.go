package agatebalance

import (
	"math"
	"strconv"
)

// usesOrdinals reports whether the plan orders upstreams by ordinal and size.
func (t *Table) usesOrdinals() bool { return t.plan != nil && t.plan.Plan.Ordinals }

// setOrder sets the name by which the preference orders of objects know an upstream: its
// ordinal, which the one that replaces it inherits, or its id.
func (t *Table) setOrder(u *upstream) {
	u.orderName = u.info.ID
	if t.usesOrdinals() && u.info.Ordinal > 0 {
		u.orderName = u.info.Domain + "/" + strconv.Itoa(u.info.Ordinal)
	}
}

// setWeights sets the parts of the objects that the upstreams of a service get: by their
// slots, or all the same. Draining upstreams get none, so they do not count.
func (s *service) setWeights(bySlots bool) {
	total, n := 0.0, 0.0
	for _, u := range s.upstreams {
		u.weightInverse = 1
		if !u.draining() {
			total += u.slots()
			n++
		}
	}
	if !bySlots || n == 0 {
		return
	}
	for _, u := range s.upstreams {
		u.weightInverse = total / n / u.slots()
	}
}

// score is the position of an upstream in the preference order of an object, in [0, 1):
// the lowest comes first. Weighted rendezvous hashing gives each upstream a part of the
// objects in proportion to its weight: the lowest of exponentially distributed numbers
// with these rates. The numbers are mapped back to [0, 1), so that upstreams of mean
// weight keep the scores that they have without weights.
func (u *upstream) score(key uint64) float64 {
	score := keyScore(key, u.orderName)
	if u.weightInverse == 1 {
		return score
	}
	return 1 - math.Pow(1-score, u.weightInverse)
}

package agateshift

import (
	"cmp"
	"slices"
)

// claim is the request of one process for a share of a pool. Its amounts are
// usage per second, in requests or bytes.
type claim struct {
	requested float64
	allocated float64
	// order ranks the claims when the pool is too small for all of them; the
	// lowest is served first.
	order uint64
}

// allocate divides a pool by max-min fairness: a claim gets what it requested
// or as much as any other. Shares below minShare are useless; if the fair share
// is smaller, only the first claims by order get a share. It reorders the
// claims.
func allocate(claims []*claim, pool, minShare float64) {
	if pool < minShare {
		applyShare(claims, 0)
		return
	}
	share := fairShare(claims, pool)
	if share < minShare {
		slices.SortFunc(claims, func(a, b *claim) int { return cmp.Compare(a.order, b.order) })
		n := min(int(pool/minShare), len(claims))
		applyShare(claims[n:], 0)
		claims = claims[:n]
		share = fairShare(claims, pool)
	}
	applyShare(claims, share)
}

func applyShare(claims []*claim, share float64) {
	for _, c := range claims {
		c.allocated = min(c.requested, share)
	}
}

// fairShare returns the upper bound of a claim's share in a max-min fair
// allocation. It sorts the claims by the requested amount.
func fairShare(claims []*claim, pool float64) float64 {
	slices.SortFunc(claims, func(a, b *claim) int { return cmp.Compare(a.requested, b.requested) })
	for i, c := range claims {
		share := pool / float64(len(claims)-i)
		if c.requested > share {
			return share
		}
		pool -= c.requested
	}
	return unlimited
}

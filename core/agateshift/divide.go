package agateshift

import (
	"cmp"
	"slices"
)

// claim is one host's part in a division.
type claim struct {
	want float64
	got  float64
	// turn orders the claims when there is not enough for all.
	turn uint64
}

// divide divides a pool max-min fairly: a claim gets what it wants or as much
// as any other. Parts below least are of no use; if the fair part is below it,
// only the first claims by turn take part. It reorders the claims.
func divide(claims []*claim, pool, least float64) {
	if pool < least {
		fill(claims, 0)
		return
	}
	level := fairLevel(claims, pool)
	if level < least {
		slices.SortFunc(claims, func(a, b *claim) int { return cmp.Compare(a.turn, b.turn) })
		n := min(int(pool/least), len(claims))
		fill(claims[n:], 0)
		claims = claims[:n]
		level = fairLevel(claims, pool)
	}
	fill(claims, level)
}

func fill(claims []*claim, level float64) {
	for _, c := range claims {
		c.got = min(c.want, level)
	}
}

// fairLevel returns the part that no claim's part exceeds. It sorts the
// claims by what they want.
func fairLevel(claims []*claim, pool float64) float64 {
	slices.SortFunc(claims, func(a, b *claim) int { return cmp.Compare(a.want, b.want) })
	for i, c := range claims {
		part := pool / float64(len(claims)-i)
		if c.want > part {
			return part
		}
		pool -= c.want
	}
	return unlimited
}

package agateclient

import (
	"math"
	"time"

	"agategate/core/agatelimit"
	"agategate/io/agatewire"
)

// FromWireLimits decodes statements of upstreams on their limits. It skips those with
// a rate that is negative or no number.
func FromWireLimits(rows []*agatewire.LimitRow) []agatelimit.Report {
	out := make([]agatelimit.Report, 0, len(rows))
	for _, r := range rows {
		if !(r.Rate >= 0) || math.IsInf(r.Rate, 0) {
			continue
		}
		out = append(out, agatelimit.Report{
			Upstream:    r.Id,
			StartedAtMs: r.Born,
			Value:       agatelimit.Limit{Named: r.Named, Rate: r.Rate},
			Age:         time.Duration(max(0, r.Age)) * time.Millisecond,
		})
	}
	return out
}

// ToWireLimits encodes statements of upstreams on their limits.
func ToWireLimits(reports []agatelimit.Report) []*agatewire.LimitRow {
	var out []*agatewire.LimitRow
	for i := range reports {
		r := &reports[i]
		out = append(out, &agatewire.LimitRow{
			Id:    r.Upstream,
			Born:  r.StartedAtMs,
			Named: r.Value.Named,
			Rate:  r.Value.Rate,
			Age:   r.Age.Milliseconds(),
		})
	}
	return out
}

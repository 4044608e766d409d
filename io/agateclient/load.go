package agateclient

import (
	"math"
	"time"

	"agategate/core/agateboard"
	"agategate/io/agatewire"
)

// FromWireLoads decodes loads that upstreams reported.
func FromWireLoads(rows []*agatewire.LoadRow) []agateboard.Report[int] {
	out := make([]agateboard.Report[int], 0, len(rows))
	for _, r := range rows {
		out = append(out, agateboard.Report[int]{Upstream: string(r.Id), Value: int(r.Load), Age: time.Duration(r.Age) * time.Millisecond})
	}
	return out
}

// ToWireLoads encodes loads that upstreams reported.
func ToWireLoads(reports []agateboard.Report[int]) []*agatewire.LoadRow {
	var out []*agatewire.LoadRow
	for i := range reports {
		r := &reports[i]
		out = append(out, &agatewire.LoadRow{Id: []byte(r.Upstream), Load: toUint32(int64(r.Value)), Age: toUint32(r.Age.Milliseconds())})
	}
	return out
}

// toUint32 converts n to the nearest value that fits.
func toUint32(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

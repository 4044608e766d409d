package agateinventory_test

import (
	"fmt"
	"net/netip"
	"testing"

	"agategate/core/agateinventory"
)

// newInventory returns an inventory with a number of address blocks and one region
// per 7,500 blocks, the ratio of 330,000 blocks to 44 regions.
func newInventory(blocks int) *agateinventory.Inventory {
	inv := &agateinventory.Inventory{TargetUtilization: 0.8, MaxEjectedShare: 0.3}
	regions := max(1, blocks/7500)
	for i := range regions {
		name := fmt.Sprintf("region-%d", i)
		inv.Regions = append(inv.Regions, agateinventory.Region{Name: name, Domains: []string{name + "-a", name + "-b"}})
	}
	inv.Services = []agateinventory.Service{{
		Name:     "quotes",
		Deadline: agateinventory.DefaultDeadline,
		Regions:  []string{"region-0"},
		Reads:    []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}},
	}}
	for i := range blocks {
		addr := netip.AddrFrom4([4]byte{10 + byte(i>>16), byte(i >> 8), byte(i), 0})
		inv.Blocks = append(inv.Blocks, agateinventory.Block{
			Prefix: netip.PrefixFrom(addr, 24),
			Region: inv.Regions[i%regions].Name,
		})
	}
	return inv
}

// BenchmarkParse measures the parse time and size of a document by its number of
// address blocks, for docs/CAPACITY.md.
func BenchmarkParse(b *testing.B) {
	for _, blocks := range []int{600, 6000, 60000} {
		document := agateinventory.Format(newInventory(blocks))
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(document)), "document-bytes")
			for b.Loop() {
				if _, problems := agateinventory.Parse("bench", document); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
		})
	}
}

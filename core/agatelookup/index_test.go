package agatelookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agateinventory"
)

// Guards against results of the index that differ from the linear search of
// Inventory.RegionOf.
func TestIndexAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inv := &agateinventory.Inventory{}
		for range rapid.IntRange(0, 40).Draw(t, "blocks") {
			inv.Blocks = append(inv.Blocks, agateinventory.Block{
				Prefix: netip.PrefixFrom(drawAddr(t), 0),
				Region: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region"),
			})
			b := &inv.Blocks[len(inv.Blocks)-1]
			bits := rapid.IntRange(0, b.Prefix.Addr().BitLen()).Draw(t, "bits")
			b.Prefix = netip.PrefixFrom(b.Prefix.Addr(), bits).Masked()
		}
		x := NewIndex(inv.Blocks)
		for range 200 {
			addr := drawAddr(t)
			name, ok := x.Region(addr)
			want, found := inv.RegionOf(addr)
			if name != want || ok != found {
				t.Fatalf("%v is in %q, not %q", addr, want, name)
			}
		}
	})
}

// drawAddr draws addresses that are likely to share blocks, including the first
// and last of the address space.
func drawAddr(t *rapid.T) netip.Addr {
	b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 0x80, 0xff}), 4, 4).Draw(t, "addr")
	if rapid.Bool().Draw(t, "v6") {
		wide := [16]byte{0: b[0], 1: b[1], 7: b[1], 8: b[2], 15: b[3]}
		for i := 2; i < 15 && b[2] == 0xff; i++ {
			wide[i] = 0xff
		}
		return netip.AddrFrom16(wide)
	}
	return netip.AddrFrom4([4]byte(b))
}

// Guards against faults of the prefix table, which only large indexes have.
func TestLargeIndexAgrees(t *testing.T) {
	inv := &agateinventory.Inventory{Blocks: newBlocks(4000)}
	x := NewIndex(inv.Blocks)
	assert.Assert(t, x.v4.prefixTable != nil)
	for i := 1; i < len(x.v4.starts); i++ {
		assert.Assert(t, x.v4.starts[i-1] < x.v4.starts[i] && x.v4.regions[i-1] != x.v4.regions[i], "a redundant range")
	}
	rng := rand.New(rand.NewPCG(2, 2))
	for range 1000 {
		b := inv.Blocks[rng.IntN(len(inv.Blocks))].Prefix
		for _, addr := range []netip.Addr{b.Addr(), b.Addr().Prev(), lastAddr(b), lastAddr(b).Next()} {
			name, _ := x.Region(addr)
			want, _ := inv.RegionOf(addr)
			assert.Equal(t, name, want, "%v", addr)
		}
	}
	name, ok := x.Region(netip.MustParseAddr("::ffff:" + inv.Blocks[0].Prefix.Addr().String()))
	assert.Assert(t, ok && name != "")
	_, ok = x.Region(netip.Addr{})
	assert.Assert(t, !ok)
}

// newBlocks returns distinct blocks of mixed sizes in 44 regions.
func newBlocks(n int) []agateinventory.Block {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	seen := map[netip.Prefix]bool{}
	var out []agateinventory.Block
	for len(out) < n {
		addr := netip.AddrFrom4([4]byte{byte(1 + rng.IntN(223)), byte(rng.IntN(256)), byte(rng.IntN(256)), byte(rng.IntN(256))})
		p := netip.PrefixFrom(addr, 16+rng.IntN(9)).Masked()
		if !seen[p] {
			seen[p] = true
			out = append(out, agateinventory.Block{Prefix: p, Region: fmt.Sprint("region-", rng.IntN(44))})
		}
	}
	return out
}

// blockCounts are the benchmarked numbers of blocks.
var blockCounts = []int{3300, 33000, 330000}

func BenchmarkRegion(b *testing.B) {
	for _, n := range blockCounts {
		x := NewIndex(newBlocks(n))
		rng := rand.New(rand.NewPCG(3, 3))
		addrs := make([]netip.Addr, 1<<16)
		for i := range addrs {
			v := rng.Uint32()
			addrs[i] = netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				x.Region(addrs[i&(len(addrs)-1)])
			}
			b.ReportMetric(float64(x.SizeBytes())/float64(n), "bytes/block")
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	for _, n := range blockCounts {
		blocks := newBlocks(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				NewIndex(blocks)
			}
		})
	}
}

// designConfig returns a Config with 93 domains in 44 regions, as in the largest
// system that the design is for, and with a number of hosts.
func designConfig(hosts int) Config {
	cfg := Config{Now: start, Index: NewIndex(newBlocks(blockCounts[2]))}
	for i := range hosts {
		d := i % 93
		cfg.Hosts = append(cfg.Hosts, Host{
			Name: fmt.Sprint("host-", i), Region: fmt.Sprint("region-", d%44), Domain: fmt.Sprint("domain-", d),
			Capacity: 100, Load: 70, LastContact: start,
		})
	}
	return cfg
}

// hostCounts are the benchmarked numbers of entry hosts; the last one is that of
// the largest system that the design is for.
var hostCounts = []int{47, 470, 4700}

func BenchmarkChoose(b *testing.B) {
	for _, hosts := range hostCounts {
		v := NewView(designConfig(hosts))
		rng := rand.New(rand.NewPCG(3, 3))
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				v4 := rng.Uint32()
				Choose(Query{netip.AddrFrom4([4]byte{byte(v4 >> 24), byte(v4 >> 16), byte(v4 >> 8), byte(v4)})}, v)
			}
		})
	}
}

func BenchmarkNewView(b *testing.B) {
	for _, hosts := range hostCounts {
		cfg := designConfig(hosts)
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				NewView(cfg)
			}
		})
	}
}

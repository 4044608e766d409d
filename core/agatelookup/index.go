package agatelookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"

	"agategate/core/agateinventory"
)

// none is the region id of addresses without a block.
const none = 0

// topBits is the number of leading bits of an IPv4 address that select the
// part of the table that is searched.
const topBits = 16

// topLeast is the number of IPv4 ranges from which the selection pays for its
// 256 KiB.
const topLeast = 1 << 12

// Index maps addresses to regions. It holds the blocks as ranges that do not
// overlap, in sorted arrays. It is immutable, and safe for concurrent use.
type Index struct {
	names []string // by region id; names[none] is empty
	v4    table4
	v6    table6
	// Blocks is the number of blocks that the index was built from.
	Blocks int
}

// table4 holds where each IPv4 range starts, and its region.
type table4 struct {
	starts  []uint32
	regions []uint16
	// top[i] is the first range that starts at or after the prefix i.
	top []uint32
}

// table6 does the same for IPv6.
type table6 struct {
	high    []uint64
	low     []uint64
	regions []uint16
}

// NewIndex builds the index of an inventory's blocks. Of equal blocks, the
// first counts; of overlapping ones, the longest.
func NewIndex(blocks []agateinventory.Block) *Index {
	x := &Index{names: []string{""}, Blocks: len(blocks)}
	ids := map[string]uint16{}
	var b4, b6 []block
	for _, b := range blocks {
		if !b.Prefix.IsValid() {
			continue
		}
		id, ok := ids[b.Region]
		if !ok {
			id = uint16(len(x.names))
			ids[b.Region] = id
			x.names = append(x.names, b.Region)
		}
		if b.Prefix.Addr().Is4() {
			b4 = append(b4, block{b.Prefix.Masked(), id})
		} else {
			b6 = append(b6, block{b.Prefix.Masked(), id})
		}
	}
	flatten(b4, x.v4.add)
	flatten(b6, x.v6.add)
	x.v4.finish()
	x.v6.finish()
	return x
}

type block struct {
	prefix netip.Prefix
	region uint16
}

// flatten calls add with the start and region of each range, in ascending
// order.
func flatten(blocks []block, add func(netip.Addr, uint16)) {
	slices.SortStableFunc(blocks, func(a, b block) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
	})
	var open []block // the blocks around the current address, longest last
	closeLast := func() {
		b := open[len(open)-1]
		open = open[:len(open)-1]
		outer := uint16(none)
		if len(open) > 0 {
			outer = open[len(open)-1].region
		}
		if next := lastAddr(b.prefix).Next(); next.IsValid() {
			add(next, outer)
		}
	}
	for i, b := range blocks {
		if i > 0 && blocks[i-1].prefix == b.prefix {
			continue
		}
		for len(open) > 0 && !open[len(open)-1].prefix.Contains(b.prefix.Addr()) {
			closeLast()
		}
		open = append(open, b)
		add(b.prefix.Addr(), b.region)
	}
	for len(open) > 0 {
		closeLast()
	}
}

func lastAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := p.Bits(); i < len(b)*8; i++ {
		b[i/8] |= 0x80 >> (i % 8)
	}
	a, _ := netip.AddrFromSlice(b) // the length is that of an address
	return a
}

// add appends a range. One that starts where the previous one does replaces
// it, and one of the same region continues it.
func (t *table4) add(a netip.Addr, region uint16) {
	b := a.As4()
	start := binary.BigEndian.Uint32(b[:])
	if n := len(t.starts); n > 0 && t.starts[n-1] == start {
		t.starts, t.regions = t.starts[:n-1], t.regions[:n-1]
	}
	if n := len(t.regions); n > 0 && t.regions[n-1] == region {
		return
	}
	t.starts = append(t.starts, start)
	t.regions = append(t.regions, region)
}

func (t *table6) add(a netip.Addr, region uint16) {
	high, low := split(a)
	if n := len(t.high); n > 0 && t.high[n-1] == high && t.low[n-1] == low {
		t.high, t.low, t.regions = t.high[:n-1], t.low[:n-1], t.regions[:n-1]
	}
	if n := len(t.regions); n > 0 && t.regions[n-1] == region {
		return
	}
	t.high = append(t.high, high)
	t.low = append(t.low, low)
	t.regions = append(t.regions, region)
}

func split(a netip.Addr) (high, low uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

// finish releases spare memory and builds the selection.
func (t *table4) finish() {
	t.starts, t.regions = slices.Clip(slices.Clone(t.starts)), slices.Clip(slices.Clone(t.regions))
	if len(t.starts) < topLeast {
		return
	}
	t.top = make([]uint32, 1<<topBits+1)
	n := 0
	for i := range t.top {
		for n < len(t.starts) && uint64(t.starts[n]) < uint64(i)<<(32-topBits) {
			n++
		}
		t.top[i] = uint32(n)
	}
}

func (t *table6) finish() {
	t.high, t.low = slices.Clip(slices.Clone(t.high)), slices.Clip(slices.Clone(t.low))
	t.regions = slices.Clip(slices.Clone(t.regions))
}

// Region returns the region of an address. An IPv4 address in IPv6 form counts
// as IPv4.
func (x *Index) Region(a netip.Addr) (name string, ok bool) {
	id := x.region(a.Unmap())
	return x.names[id], id != none
}

func (x *Index) region(a netip.Addr) uint16 {
	switch {
	case a.Is4():
		b := a.As4()
		return x.v4.region(binary.BigEndian.Uint32(b[:]))
	case a.Is6():
		return x.v6.region(split(a))
	}
	return none
}

func (t *table4) region(a uint32) uint16 {
	from, to := 0, len(t.starts)
	if t.top != nil {
		i := a >> (32 - topBits)
		from, to = int(t.top[i]), int(t.top[i+1])
	}
	for from < to {
		if m := int(uint(from+to) >> 1); t.starts[m] <= a {
			from = m + 1
		} else {
			to = m
		}
	}
	if from == 0 {
		return none
	}
	return t.regions[from-1]
}

func (t *table6) region(high, low uint64) uint16 {
	n := sort.Search(len(t.high), func(i int) bool {
		return t.high[i] > high || (t.high[i] == high && t.low[i] > low)
	})
	if n == 0 {
		return none
	}
	return t.regions[n-1]
}

// Bytes returns the size of the index in bytes, without the names of regions.
func (x *Index) Bytes() int {
	return 4*cap(x.v4.starts) + 2*cap(x.v4.regions) + 4*cap(x.v4.top) +
		8*cap(x.v6.high) + 8*cap(x.v6.low) + 2*cap(x.v6.regions)
}

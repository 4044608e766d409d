package agatelookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"

	"agategate/core/agateinventory"
)

// noRegion is the region id of addresses without a block.
const noRegion = 0

// prefixTableBits is the number of leading bits of an IPv4 address that index
// the prefix table.
const prefixTableBits = 16

// minPrefixTableRanges is the minimum number of IPv4 ranges for which the prefix
// table is built. With fewer ranges, the faster lookup is not worth its 256 KiB.
const minPrefixTableRanges = 1 << 12

// Index maps addresses to regions. It holds the blocks as ranges that do not
// overlap, in sorted arrays. It is immutable, and safe for concurrent use.
type Index struct {
	names []string // by region id; names[noRegion] is empty
	v4    rangeTable4
	v6    rangeTable6
	// BlockCount is the number of blocks from which the index was built.
	BlockCount int
}

// rangeTable4 holds the start and the region of each IPv4 range.
type rangeTable4 struct {
	starts  []uint32
	regions []uint16
	// prefixTable[i] is the index of the first range that starts at or after the
	// prefix i. It is nil for small tables.
	prefixTable []uint32
}

// rangeTable6 holds the start and the region of each IPv6 range. A start is
// split into two words.
type rangeTable6 struct {
	high    []uint64
	low     []uint64
	regions []uint16
}

// NewIndex builds the index of an inventory's blocks. If blocks overlap, the one
// with the longest prefix applies; if they are equal, the first one.
func NewIndex(blocks []agateinventory.Block) *Index {
	x := &Index{names: []string{""}, BlockCount: len(blocks)}
	ids := map[string]uint16{}
	var b4, b6 []regionBlock
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
			b4 = append(b4, regionBlock{b.Prefix.Masked(), id})
		} else {
			b6 = append(b6, regionBlock{b.Prefix.Masked(), id})
		}
	}
	flatten(b4, x.v4.add)
	flatten(b6, x.v6.add)
	x.v4.finish()
	x.v6.finish()
	return x
}

type regionBlock struct {
	prefix netip.Prefix
	region uint16
}

// flatten converts blocks, which may be nested, to ranges that do not overlap. It
// calls add with the start and region of each range in ascending order.
func flatten(blocks []regionBlock, add func(netip.Addr, uint16)) {
	slices.SortStableFunc(blocks, func(a, b regionBlock) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
	})
	var enclosing []regionBlock // the blocks that contain the current address, longest prefix last
	closeInnermost := func() {
		b := enclosing[len(enclosing)-1]
		enclosing = enclosing[:len(enclosing)-1]
		region := uint16(noRegion)
		if len(enclosing) > 0 {
			region = enclosing[len(enclosing)-1].region
		}
		if next := lastAddr(b.prefix).Next(); next.IsValid() {
			add(next, region)
		}
	}
	for i, b := range blocks {
		if i > 0 && blocks[i-1].prefix == b.prefix {
			continue
		}
		for len(enclosing) > 0 && !enclosing[len(enclosing)-1].prefix.Contains(b.prefix.Addr()) {
			closeInnermost()
		}
		enclosing = append(enclosing, b)
		add(b.prefix.Addr(), b.region)
	}
	for len(enclosing) > 0 {
		closeInnermost()
	}
}

func lastAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := p.Bits(); i < len(b)*8; i++ {
		b[i/8] |= 0x80 >> (i % 8)
	}
	a, _ := netip.AddrFromSlice(b) // cannot fail: b has the length of an address
	return a
}

// add appends a range. A range with the same start as the previous one replaces
// it; a range with the same region as the previous one is merged with it.
func (t *rangeTable4) add(a netip.Addr, region uint16) {
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

func (t *rangeTable6) add(a netip.Addr, region uint16) {
	high, low := splitAddr(a)
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

func splitAddr(a netip.Addr) (high, low uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

// finish releases unused memory and builds the prefix table.
func (t *rangeTable4) finish() {
	t.starts, t.regions = slices.Clip(slices.Clone(t.starts)), slices.Clip(slices.Clone(t.regions))
	if len(t.starts) < minPrefixTableRanges {
		return
	}
	t.prefixTable = make([]uint32, 1<<prefixTableBits+1)
	n := 0
	for i := range t.prefixTable {
		for n < len(t.starts) && uint64(t.starts[n]) < uint64(i)<<(32-prefixTableBits) {
			n++
		}
		t.prefixTable[i] = uint32(n)
	}
}

func (t *rangeTable6) finish() {
	t.high, t.low = slices.Clip(slices.Clone(t.high)), slices.Clip(slices.Clone(t.low))
	t.regions = slices.Clip(slices.Clone(t.regions))
}

// Region returns the region of an address, and false if no block contains it. An
// IPv4-mapped IPv6 address is looked up as IPv4.
func (x *Index) Region(a netip.Addr) (name string, ok bool) {
	id := x.regionID(a.Unmap())
	return x.names[id], id != noRegion
}

func (x *Index) regionID(a netip.Addr) uint16 {
	switch {
	case a.Is4():
		b := a.As4()
		return x.v4.regionID(binary.BigEndian.Uint32(b[:]))
	case a.Is6():
		return x.v6.regionID(splitAddr(a))
	}
	return noRegion
}

func (t *rangeTable4) regionID(a uint32) uint16 {
	from, to := 0, len(t.starts)
	if t.prefixTable != nil {
		i := a >> (32 - prefixTableBits)
		from, to = int(t.prefixTable[i]), int(t.prefixTable[i+1])
	}
	for from < to {
		if m := int(uint(from+to) >> 1); t.starts[m] <= a {
			from = m + 1
		} else {
			to = m
		}
	}
	if from == 0 {
		return noRegion
	}
	return t.regions[from-1]
}

func (t *rangeTable6) regionID(high, low uint64) uint16 {
	n := sort.Search(len(t.high), func(i int) bool {
		return t.high[i] > high || (t.high[i] == high && t.low[i] > low)
	})
	if n == 0 {
		return noRegion
	}
	return t.regions[n-1]
}

// SizeBytes returns the memory size of the index, without the names of regions.
func (x *Index) SizeBytes() int {
	return 4*cap(x.v4.starts) + 2*cap(x.v4.regions) + 4*cap(x.v4.prefixTable) +
		8*cap(x.v6.high) + 8*cap(x.v6.low) + 2*cap(x.v6.regions)
}

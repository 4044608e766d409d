package agatestate_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agatestate"
)

// fleetModel is the oracle of the fleet: for each upstream what its newest
// announcement said, by the rules of the package's documentation.
type fleetModel struct {
	ups map[string]agatestate.Upstream
}

// announce applies one announcement.
func (f *fleetModel) announce(up agatestate.Upstream) {
	old, known := f.ups[up.ID]
	if up.Gone && up.Sequence == 0 {
		stays := !old.Gone || (old.Lapsed && !up.Lapsed) // a silent one may still leave
		if known && stays && (up.Born == 0 || up.Born >= old.Born) {
			old.Gone, old.Lapsed = true, up.Lapsed
			f.ups[up.ID] = old
		}
		return
	}
	sameProcess := known && old.Born == up.Born
	switch {
	case known && up.Born < old.Born, sameProcess && up.Sequence <= old.Sequence:
		return
	case sameProcess && old.Gone && !old.Lapsed:
		return
	}
	for id, other := range f.ups {
		if id == up.ID || other.Address != up.Address || (other.Gone && !other.Lapsed) {
			continue
		}
		if other.Born > up.Born {
			return
		}
		other.Gone, other.Lapsed = true, false
		f.ups[id] = other
	}
	f.ups[up.ID] = up
}

// state is what a host believes of an upstream.
func state(u agatestate.Upstream) string {
	return fmt.Sprint(u.Address, u.Born, u.Draining, u.Gone, u.Lapsed)
}

// Guards against a host that follows deltas, over any gaps and snapshots, and
// ends up with another fleet than the announcements make.
func TestFleetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := agatestate.New(agatestate.Config{})
		model := &fleetModel{ups: map[string]agatestate.Upstream{}}
		host := map[string]string{} // what a host that follows deltas holds
		held := uint64(0)
		index := uint64(0)
		apply := func(c agatestate.Command) {
			index++
			c.Now = 1e12 + int64(index)
			m.Apply(index, agatestate.Encode(c))
		}
		follow := func() {
			d := m.Fleet(held)
			if d.Whole {
				clear(host)
			}
			for _, u := range d.Upstreams {
				host[u.ID] = state(u)
			}
			held = max(held, d.Index)
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				up := agatestate.Upstream{
					ID:       rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
					Service:  "s",
					Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 4).Draw(t, "at"))}), 80),
					Born:     int64(rapid.IntRange(1, 4).Draw(t, "born")),
					Sequence: uint64(rapid.IntRange(1, 5).Draw(t, "seq")),
					Draining: rapid.Bool().Draw(t, "draining"),
				}
				model.announce(up)
				apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
			},
			"leave": func(t *rapid.T) {
				up := agatestate.Upstream{
					ID:     rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
					Born:   int64(rapid.IntRange(0, 4).Draw(t, "born")),
					Gone:   true,
					Lapsed: rapid.Bool().Draw(t, "lapsed"),
				}
				model.announce(up)
				apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
			},
			"follow": func(*rapid.T) { follow() },
			"restore": func(t *rapid.T) {
				m = restored(t, agatestate.Config{}, m)
			},
			"": func(t *rapid.T) {
				got := map[string]string{}
				for _, u := range m.Fleet(0).Upstreams {
					got[u.ID] = state(u)
				}
				want := map[string]string{}
				for id, u := range model.ups {
					want[id] = state(u)
				}
				assert.DeepEqual(t, got, want)
			},
		})
		follow()
		for id, u := range model.ups {
			assert.Equal(t, host[id], state(u))
		}
		assert.DeepEqual(t, slices.Sorted(maps.Keys(host)), slices.Sorted(maps.Keys(model.ups)))
	})
}

// Guards against upstreams that are remembered without end.
func TestGoneUpstreamsAreForgotten(t *testing.T) {
	m := agatestate.New(agatestate.Config{})
	now := time.UnixMilli(1e12)
	for i := range 100 {
		up := agatestate.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: int64(i + 1), Sequence: 1}
		now = now.Add(10 * time.Second)
		m.Apply(uint64(i+1), agatestate.Encode(agatestate.Command{
			Now: now.UnixMilli(), Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}},
		}))
	}
	n := len(m.Fleet(0).Upstreams)
	assert.Assert(t, n <= 14, "%d upstreams after 1000 s with one in 10 s; they are kept for 120 s", n)
}

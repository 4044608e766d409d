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

// fleetModel is the oracle for the fleet: the state of each upstream after the
// announcements so far, by the rules that the package documents.
type fleetModel struct {
	upstreams map[string]agatestate.Upstream
}

// announce applies one announcement.
func (f *fleetModel) announce(up agatestate.Upstream) {
	old, known := f.upstreams[up.ID]
	if up.Gone && up.Sequence == 0 {
		removable := !old.Gone || (old.Expired && !up.Expired) // an expired upstream may still deregister
		if known && removable && (up.StartedAtMs == 0 || up.StartedAtMs >= old.StartedAtMs) {
			old.Gone, old.Expired = true, up.Expired
			f.upstreams[up.ID] = old
		}
		return
	}
	sameProcess := known && old.StartedAtMs == up.StartedAtMs
	switch {
	case known && up.StartedAtMs < old.StartedAtMs, sameProcess && up.Sequence <= old.Sequence:
		return
	case sameProcess && old.Gone && !old.Expired:
		return
	}
	for id, other := range f.upstreams {
		if id == up.ID || other.Address != up.Address || (other.Gone && !other.Expired) {
			continue
		}
		if other.StartedAtMs > up.StartedAtMs {
			return
		}
		other.Gone, other.Expired = true, false
		f.upstreams[id] = other
	}
	f.upstreams[up.ID] = up
}

// state renders the part of an upstream that hosts must agree on.
func state(u agatestate.Upstream) string {
	return fmt.Sprint(u.Address, u.StartedAtMs, u.Draining, u.Gone, u.Expired)
}

// Guards against a host whose fleet differs from the announcements after it
// applied deltas, with commands between the deltas and restored snapshots.
func TestFleetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := agatestate.New(agatestate.Config{})
		model := &fleetModel{upstreams: map[string]agatestate.Upstream{}}
		host := map[string]string{} // the fleet of a host that applies deltas
		since := uint64(0)
		index := uint64(0)
		apply := func(c agatestate.Command) {
			index++
			c.Now = startMs + int64(index)
			m.Apply(index, agatestate.Encode(c))
		}
		applyDelta := func() {
			d := m.Fleet(since)
			if d.Full {
				clear(host)
			}
			for _, u := range d.Upstreams {
				host[u.ID] = state(u)
			}
			since = max(since, d.Index)
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				up := agatestate.Upstream{
					ID:          rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
					Service:     "s",
					Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 4).Draw(t, "address"))}), 80),
					StartedAtMs: int64(rapid.IntRange(1, 4).Draw(t, "start")),
					Sequence:    uint64(rapid.IntRange(1, 5).Draw(t, "seq")),
					Draining:    rapid.Bool().Draw(t, "draining"),
				}
				model.announce(up)
				apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
			},
			"leave": func(t *rapid.T) {
				up := agatestate.Upstream{
					ID:          rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
					StartedAtMs: int64(rapid.IntRange(0, 4).Draw(t, "start")),
					Gone:        true,
					Expired:     rapid.Bool().Draw(t, "lapsed"),
				}
				model.announce(up)
				apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
			},
			"follow": func(*rapid.T) { applyDelta() },
			"restore": func(t *rapid.T) {
				m = restored(t, agatestate.Config{}, m)
			},
			"": func(t *rapid.T) {
				got := map[string]string{}
				for _, u := range m.Fleet(0).Upstreams {
					got[u.ID] = state(u)
				}
				want := map[string]string{}
				for id, u := range model.upstreams {
					want[id] = state(u)
				}
				assert.DeepEqual(t, got, want)
			},
		})
		applyDelta()
		for id, u := range model.upstreams {
			assert.Equal(t, host[id], state(u))
		}
		assert.DeepEqual(t, slices.Sorted(maps.Keys(host)), slices.Sorted(maps.Keys(model.upstreams)))
	})
}

// Guards against a fleet that grows without bound because upstreams that left
// are not deleted.
func TestGoneUpstreamsAreDeleted(t *testing.T) {
	m := agatestate.New(agatestate.Config{})
	now := time.UnixMilli(startMs)
	for i := range 100 {
		up := agatestate.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAtMs: int64(i + 1), Sequence: 1}
		now = now.Add(10 * time.Second)
		m.Apply(uint64(i+1), agatestate.Encode(agatestate.Command{
			Now: now.UnixMilli(), Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}},
		}))
	}
	n := len(m.Fleet(0).Upstreams)
	assert.Assert(t, n <= 14, "%d upstreams after 1000 s with one in 10 s; they are kept for 120 s", n)
}

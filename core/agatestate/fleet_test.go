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
// announcements so far, by the table in docs/design/membership.md. No member is silent
// for long enough to lose its place to another process.
type fleetModel struct {
	upstreams map[string]agatestate.Upstream
	displaced map[string]bool // processes whose address another one has taken
	// ended holds the start times of processes that deregistered and were never members.
	ended map[string]int64
	// claims holds the processes that have contradicted a member.
	claims map[string]bool
}

// announce applies one announcement.
func (f *fleetModel) announce(up agatestate.Upstream) {
	old, known := f.upstreams[up.ID]
	if up.Gone && up.Sequence == 0 {
		f.leave(old, known, up)
		return
	}
	for id, other := range f.upstreams {
		if id == up.ID || other.Address != up.Address || (other.Gone && !other.Expired) {
			continue
		}
		if !other.Gone || other.StartedAtMs > up.StartedAtMs {
			f.contest(up)
			return
		}
		defer f.displace(id)
	}
	if start, ended := f.ended[up.ID]; ended && up.StartedAtMs <= start {
		f.contest(up)
		return
	}
	delete(f.ended, up.ID)
	sameProcess := up.StartedAtMs == old.StartedAtMs
	newer := up.StartedAtMs > old.StartedAtMs || (sameProcess && up.Sequence > old.Sequence)
	switch {
	case !known:
	case !old.Gone && sameProcess && up.Address == old.Address && up.Draining == old.Draining:
		return // it confirms the state, and the sequence stays that of the last change
	case !newer:
		f.contest(up)
		return
	case f.displaced[up.ID]:
	case old.Gone && !old.Expired && sameProcess:
		f.contest(up)
		return
	case old.Gone:
	case up.Address != old.Address:
		f.contest(up)
		return
	case !sameProcess && up.Draining:
		// It seems to run in place of the member, which gets no new requests.
		if f.contest(up) {
			old.Draining = true
			f.upstreams[up.ID] = old
		}
		return
	}
	f.upstreams[up.ID] = up
	f.displaced[up.ID] = false
}

// contest records that a process contradicts a member, and reports whether it is the first
// time.
func (f *fleetModel) contest(up agatestate.Upstream) bool {
	process := fmt.Sprint(up.ID, up.Address, up.StartedAtMs)
	first := !f.claims[process]
	f.claims[process] = true
	return first
}

func (f *fleetModel) leave(old agatestate.Upstream, known bool, up agatestate.Upstream) {
	if start, ended := f.ended[up.ID]; !known && !up.Expired {
		if !ended || up.StartedAtMs == 0 || up.StartedAtMs >= start {
			f.ended[up.ID] = max(start, up.StartedAtMs)
		}
		return
	}
	if !known || (up.StartedAtMs != 0 && up.StartedAtMs < old.StartedAtMs) {
		return
	}
	if !up.Expired {
		f.displaced[up.ID] = false
	}
	later := !up.Expired && up.StartedAtMs > old.StartedAtMs
	if later { // a process of which no announcement was believed
		old.StartedAtMs = up.StartedAtMs
	}
	if !old.Gone || later || (old.Expired && !up.Expired) { // an expired upstream may still deregister
		old.Gone, old.Expired = true, up.Expired
		f.upstreams[up.ID] = old
	}
}

// displace ends a process unless the one that takes its address was refused.
func (f *fleetModel) displace(id string) {
	old := f.upstreams[id]
	for other, u := range f.upstreams {
		if other != id && u.Address == old.Address && !u.Gone {
			old.Expired = false
			f.upstreams[id] = old
			f.displaced[id] = true
		}
	}
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
		model := &fleetModel{upstreams: map[string]agatestate.Upstream{}, displaced: map[string]bool{}, claims: map[string]bool{}, ended: map[string]int64{}}
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

package agatestate_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

const (
	writersSeeds     = 200
	writersDuration  = 60 * time.Second
	writersHeartbeat = 1500 * time.Millisecond
	// A replica that has heard a process within writersVouch speaks for it; it learns of
	// claims at this interval.
	writersVouch         = 2 * time.Second
	writersVouchInterval = 250 * time.Millisecond
	// writersReturn is the time within which a member is back after another writer has
	// copied its id, address and start time: the delay of a claim, and the heartbeats
	// before and after it.
	writersReturn = 6 * time.Second
)

// owner is an upstream that announces itself until the end of the test.
type owner struct {
	up       agatestate.Upstream
	nextAt   time.Duration
	copiedAt time.Duration // of the last announcement that copies its id and start time
}

// writers plays upstreams and another writer against one machine.
type writers struct {
	t      *testing.T
	rng    *rand.Rand
	m      *agatestate.Machine
	now    time.Duration
	index  uint64
	owners []*owner
	// heard are the times of the last acknowledged announcements, by id and start.
	heard map[string]time.Duration
}

func writersAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func newWriters(t *testing.T, seed uint64) *writers {
	w := &writers{
		t: t, heard: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1)),
		m: agatestate.New(agatestate.Config{NamesService: func(_ []byte, s string) bool { return s != "unnamed" }}),
	}
	for i := range 6 {
		w.owners = append(w.owners, &owner{copiedAt: -writersReturn, up: agatestate.Upstream{
			ID: fmt.Sprint("u", i), Service: []string{"labels", "quotes"}[i%2], Address: writersAddr(i), Domain: "d", Slots: 3,
			StartedAtMs: startMs + int64(i),
		}})
	}
	return w
}

func (w *writers) apply(up agatestate.Upstream) agatestate.Verdict {
	w.index++
	r, err := agatestate.DecodeResult(w.m.Apply(w.index, agatestate.Encode(agatestate.Command{
		Now: startMs + w.now.Milliseconds(), Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}},
	})))
	assert.NilError(w.t, err)
	return r.Verdict
}

// announce applies an announcement that a replica has received.
func (w *writers) announce(up agatestate.Upstream) agatestate.Verdict {
	v := w.apply(up)
	if v == agatestate.Accepted {
		w.heard[fmt.Sprint(up.ID, up.StartedAtMs)] = w.now
	}
	return v
}

// vouch answers the claims against members that were heard of late.
func (w *writers) vouch() {
	for _, up := range w.m.ClaimedMembers() {
		if at, ok := w.heard[fmt.Sprint(up.ID, up.StartedAtMs)]; ok && w.now-at <= writersVouch {
			w.apply(up)
		}
	}
}

// beat sends the heartbeats that are due. One that is acknowledged means that the
// upstream is in the fleet as it says.
func (w *writers) beat() {
	for _, o := range w.owners {
		if w.now < o.nextAt {
			continue
		}
		o.nextAt = w.now + writersHeartbeat - 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(400*time.Millisecond)))
		o.up.Sequence++
		if w.announce(o.up) == agatestate.Accepted {
			assert.Assert(w.t, w.holds(o), "%v: acknowledged, but not in the fleet: %+v", w.now, o.up)
		}
	}
}

// holds reports whether an upstream is in the fleet and gets requests.
func (w *writers) holds(o *owner) bool {
	got, ok := w.m.Upstream(o.up.ID)
	return ok && !got.Gone && !got.Draining && got.Address == o.up.Address && got.Service == o.up.Service
}

// forge announces something in which any part may be copied from an upstream.
func (w *writers) forge() {
	o := w.owners[w.rng.IntN(len(w.owners))]
	up := o.up
	up.Slots = 1 + w.rng.IntN(5)
	up.Service = []string{o.up.Service, "labels", "quotes", "unnamed"}[w.rng.IntN(4)]
	up.Draining = w.rng.IntN(4) == 0
	if w.rng.IntN(2) == 0 {
		up.ID = "x"
	}
	if w.rng.IntN(3) == 0 {
		up.Address = writersAddr(w.rng.IntN(8))
	}
	up.Sequence = []uint64{1, o.up.Sequence, o.up.Sequence + 1, 1_000_000}[w.rng.IntN(4)]
	up.StartedAtMs = []int64{0, o.up.StartedAtMs, startMs + w.now.Milliseconds()}[w.rng.IntN(3)]
	if up.ID == o.up.ID && up.Address == o.up.Address {
		// Nothing tells this from a word of the upstream, or from its restart in place.
		// Another one while it is on its way back would delay that.
		if w.now-o.copiedAt < 2*writersReturn {
			return
		}
		o.copiedAt = w.now
	}
	w.announce(up)
}

// Guards against an upstream that another writer takes out of the fleet, by copies of any
// part of its announcements, and against heartbeats that are acknowledged while it is out.
func TestOtherWriters(t *testing.T) {
	for seed := range uint64(writersSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			w := newWriters(t, seed)
			for ; w.now < writersDuration; w.now += 50 * time.Millisecond {
				w.beat()
				if w.now%writersVouchInterval == 0 {
					w.vouch()
				}
				if w.now > 2*time.Second && w.now < writersDuration-2*writersReturn && w.rng.IntN(5) == 0 {
					w.forge()
				}
				for _, o := range w.owners {
					if w.now > 2*time.Second && w.now-o.copiedAt > writersReturn {
						assert.Assert(t, w.holds(o), "%v: %+v is out of the fleet", w.now, o.up)
					}
				}
			}
		})
	}
}

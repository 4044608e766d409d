package agatestate_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

const (
	writersSeeds     = 200
	unnamedSeeds     = 100
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
	// writersDown is the time between the end of an upstream and its next start.
	writersDown = 4 * time.Second
	// writersExpiry is the time without a heartbeat after which a member expires.
	writersExpiry = 7 * time.Second
	// writersSettle is the time within which an upstream is in the fleet after it starts,
	// or after a plan names its service: the delay of a claim to the address of the one
	// that it replaces, and the heartbeats before and after it.
	writersSettle = 4 * time.Second
)

// owner is an upstream that announces itself until the end of the test.
type owner struct {
	up       agatestate.Upstream
	nextAt   time.Duration
	copiedAt time.Duration // of the last announcement that copies its id and start time
	// startsAt and endsAt are those of its present process.
	startsAt, endsAt time.Duration
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
	// plan lists the services of the configuration in force, namedAt the times at which
	// they were added.
	plan     []string
	namedAt  map[string]time.Duration
	revision uint64
}

func writersAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func newWriters(t *testing.T, seed uint64) *writers {
	w := &writers{
		t: t, heard: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1)),
		m: agatestate.New(agatestate.Config{Services: services}),
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
	return w.command(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
}

func (w *writers) command(c agatestate.Command) agatestate.Verdict {
	w.index++
	c.Now = startMs + w.now.Milliseconds()
	r, err := agatestate.DecodeResult(w.m.Apply(w.index, agatestate.Encode(c)))
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

// configure puts a plan with some services into force.
func (w *writers) configure(names ...string) {
	v := w.command(agatestate.Command{Configure: &agatestate.Configure{
		ChangeID: fmt.Sprint(w.revision), Base: w.revision, Document: []byte(strings.Join(names, ",")),
	}})
	assert.Equal(w.t, v, agatestate.Accepted)
	w.revision++
	for _, name := range names {
		if !slices.Contains(w.plan, name) {
			w.namedAt[name] = w.now
		}
	}
	w.plan = names
}

// expire ends the members that were not heard for writersExpiry.
func (w *writers) expire() {
	for _, up := range w.m.Members() {
		if !up.Gone && w.now-w.heard[fmt.Sprint(up.ID, up.StartedAtMs)] > writersExpiry {
			w.apply(agatestate.Upstream{ID: up.ID, StartedAtMs: up.StartedAtMs, Gone: true, Expired: true})
		}
	}
}

// replace ends the processes of upstreams that are due, some of which deregister. After a
// while each starts again under its id or another one.
func (w *writers) replace() {
	for _, o := range w.owners {
		if w.now < o.endsAt {
			continue
		}
		if w.rng.IntN(3) == 0 {
			w.apply(agatestate.Upstream{ID: o.up.ID, StartedAtMs: o.up.StartedAtMs, Gone: true})
		}
		o.startsAt = w.now + writersDown
		o.endsAt = o.startsAt + 10*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
		o.nextAt = o.startsAt
		o.up.StartedAtMs, o.up.Sequence = startMs+o.startsAt.Milliseconds(), 0
		if w.rng.IntN(2) == 0 {
			o.up.ID += "'"
		}
	}
}

// forgeUnnamed announces a service that no plan names, with any id, address, start and
// sequence.
func (w *writers) forgeUnnamed() {
	up := w.owners[w.rng.IntN(len(w.owners))].up
	up.Service = []string{"unnamed", "other"}[w.rng.IntN(2)]
	up.Draining = w.rng.IntN(4) == 0
	if w.rng.IntN(2) == 0 {
		up.ID = fmt.Sprint("x", w.rng.IntN(20))
	}
	if w.rng.IntN(3) == 0 {
		up.Address = writersAddr(w.rng.IntN(8))
	}
	up.Sequence += uint64(w.now / time.Millisecond)
	up.StartedAtMs = []int64{0, 7, up.StartedAtMs, startMs + 1e6, startMs + w.now.Milliseconds()}[w.rng.IntN(5)]
	w.announce(up)
}

// due reports whether an upstream must be in the fleet by now.
func (w *writers) due(o *owner) bool {
	since := max(o.startsAt, w.namedAt[o.up.Service])
	return slices.Contains(w.plan, o.up.Service) && w.now < o.endsAt && w.now-since > writersSettle
}

// Guards against an upstream that announcements for services of no plan keep out of the
// fleet while it starts, restarts or is replaced, or while plans drop and name its service.
func TestUnnamedWriters(t *testing.T) {
	for seed := range uint64(unnamedSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			w := newWriters(t, seed)
			w.namedAt = map[string]time.Duration{}
			w.m = agatestate.New(agatestate.Config{Services: func(doc []byte) func(string) bool {
				return func(s string) bool { return slices.Contains(strings.Split(string(doc), ","), s) }
			}})
			for _, o := range w.owners {
				o.startsAt = time.Duration(w.rng.Int64N(int64(10 * time.Second)))
				o.endsAt = o.startsAt + 10*time.Second
				o.nextAt = o.startsAt
			}
			firstPlan := time.Duration(w.rng.IntN(3)) * time.Second
			for ; w.now < writersDuration; w.now += 50 * time.Millisecond {
				if w.now >= firstPlan && (w.now-firstPlan)%(7*time.Second) == 0 {
					w.configure([][]string{{"labels", "quotes"}, {"labels"}}[w.rng.IntN(2)]...)
				}
				w.replace()
				w.beat()
				if w.now%writersVouchInterval == 0 {
					w.vouch()
				}
				if w.now%time.Second == 0 {
					w.expire()
				}
				w.forgeUnnamed()
				for _, o := range w.owners {
					assert.Assert(t, !w.due(o) || w.holds(o), "%v: %+v is out of the fleet", w.now, o.up)
				}
				for _, up := range w.m.Fleet(0).Upstreams {
					assert.Assert(t, up.Service == "labels" || up.Service == "quotes", "hosts are told of %+v", up)
				}
			}
		})
	}
}

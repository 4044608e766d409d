package agatequorum_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
)

const (
	healVoters = 5
	healEvery  = 500 * time.Millisecond
	healPause  = 100 * time.Millisecond
	// healTime is the time in which two lost replicas must be replaced once
	// the faults have ended, so that the next two may be lost.
	healTime  = 4 * time.Second
	healSeeds = 3
)

// healed is a group that heals itself, with a replica at each of some
// addresses. A replica whose disk is lost comes back with another identity.
type healed struct {
	*sim
	at      map[netip.AddrPort]*simNode
	healers map[*simNode]*agateheal.Healer
	fresh   map[*simNode]bool
	next    uint64
	// seeds are the addresses that every replica knows. Operators replace one
	// when its host is replaced.
	seeds []netip.AddrPort
	// lost is the number of disks lost since the group was last whole.
	lost int
}

func slotAddr(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1)
}

func newHealed(t failer, seed uint64) *healed {
	h := &healed{
		sim: newSim(t, seed), at: map[netip.AddrPort]*simNode{},
		healers: map[*simNode]*agateheal.Healer{}, fresh: map[*simNode]bool{}, next: healVoters + 1,
	}
	h.onMessage = func(n *simNode, m agatequorum.Message) { h.healers[n].Heard(m.From, virtual(n)) }
	var ms agatequorum.Members
	for id := uint64(1); id <= healVoters; id++ {
		ms = append(ms, agatequorum.Member{ID: id, Address: slotAddr(id)})
		if id <= healSeeds {
			h.seeds = append(h.seeds, slotAddr(id))
		}
	}
	h.changes = []proposed{{index: 1, term: 1, members: ms}}
	for _, m := range ms {
		h.place(h.add(m.ID, ms), m.Address)
	}
	return h
}

// virtual is a replica's time.
func virtual(n *simNode) time.Time { return time.Unix(1000, 0).Add(n.clock()) }

// place starts the healing duties of a replica at an address.
func (h *healed) place(n *simNode, addr netip.AddrPort) {
	n.addr = addr
	h.at[addr] = n
	h.duties(n)
}

// duties heals at an interval for as long as the process runs.
func (h *healed) duties(n *simNode) {
	h.healers[n] = agateheal.New(agateheal.Config{Voters: healVoters})
	epoch := n.epoch
	var tick func()
	tick = func() {
		h.join(n)
		h.repair(n)
		h.sim.at(healEvery, n, epoch, tick)
	}
	h.sim.at(time.Duration(h.rng.IntN(int(healEvery))), n, epoch, tick)
}

func (h *healed) view(n *simNode) agateheal.View {
	st := n.core.Status()
	return agateheal.View{
		Now: virtual(n), Self: n.id, Term: st.Term, Leader: st.Leader, Members: st.Members, Fresh: h.fresh[n],
	}
}

// reaches reports whether two replicas can exchange a question and its answer.
func (h *healed) reaches(a, b *simNode) bool {
	return b != nil && b.up && b.wake <= h.now && !h.blocked[[2]uint64{a.id, b.id}] && !h.blocked[[2]uint64{b.id, a.id}]
}

func (h *healed) join(n *simNode) {
	v := h.view(n)
	if v.Members.Voter(n.id) && v.Leader != 0 {
		h.fresh[n] = false
	}
	if !h.healers[n].Joins(v) {
		return
	}
	known := slices.Clone(h.seeds)
	for _, m := range v.Members {
		known = append(known, m.Address)
	}
	agateheal.Ask(known, func(addr netip.AddrPort) (netip.AddrPort, bool) {
		to := h.at[addr]
		if to == n || !h.reaches(n, to) {
			return netip.AddrPort{}, false
		}
		st := to.core.Status()
		if st.Role != agatequorum.Leader {
			m, _ := st.Members.Find(st.Leader)
			return m.Address, false
		}
		if _, ok := st.Members.Find(n.id); !ok {
			to.changeMembers(agatequorum.Change{Kind: agatequorum.AddLearner, ID: n.id, Address: n.addr})
		}
		return netip.AddrPort{}, true
	})
}

func (h *healed) repair(n *simNode) {
	if n.core.Status().Role != agatequorum.Leader {
		return
	}
	holder := func(addr netip.AddrPort) (uint64, bool) {
		to := h.at[addr]
		if !h.reaches(n, to) {
			return 0, false
		}
		return to.id, true
	}
	for _, step := range h.healers[n].Steps(h.view(n), holder) {
		if n.changeMembers(step.Change) == agatequorum.Accepted {
			// The next step follows once this one is committed.
			h.sim.at(healPause, n, n.epoch, func() { h.repair(n) })
			return
		}
	}
}

// wipe loses the disk of a replica. Another one starts at its address, or at a
// new one if it is replaced for good.
func (h *healed) wipe(n *simNode, replace bool) {
	h.lost++
	n.lose()
	addr := n.addr
	if replace {
		h.at[addr] = nil
		addr = slotAddr(h.next)
		if i := slices.Index(h.seeds, n.addr); i >= 0 {
			h.seeds[i] = addr
		}
	}
	fresh := h.add(h.next, nil)
	h.next++
	h.fresh[fresh] = true
	h.place(fresh, addr)
}

// calm ends all faults and checks that within healTime the group has five
// voters again, all of which run and hold everything that was acknowledged.
func (h *healed) calm() {
	h.heal()
	h.drop, h.dup, h.delay, h.fsync = 0, 0, 20*time.Millisecond, time.Millisecond
	for _, id := range slices.Clone(h.ids) {
		n := h.nodes[id]
		n.wake, n.full, n.fragile = 0, false, false
		if !n.up && !n.lost {
			h.restart(n)
		}
	}
	h.runUntil(h.now+30*time.Second, func() bool { return h.leader() != nil && h.whole(h.leader(), false) })
	before := h.oracle.acked
	end := h.now + 10*time.Second
	var next time.Duration
	ok := h.runUntil(end, func() bool {
		l := h.leader()
		if l == nil {
			return false
		}
		if h.now >= next {
			next = h.now + 50*time.Millisecond
			l.propose()
		}
		return h.oracle.acked > before && h.whole(l, true)
	})
	if !ok {
		h.explain("the group is not whole again")
	}
	h.lost = 0
}

// whole reports whether the group has its voters, all of which run, and, if
// asked, hold all that was acknowledged.
func (h *healed) whole(l *simNode, complete bool) bool {
	st := l.core.Status()
	if st.Members.Voters() < healVoters {
		return false
	}
	for _, m := range st.Members {
		if n := h.nodes[m.ID]; !m.Learner && (n.lost || !n.up || (complete && n.applied < h.oracle.acked)) {
			return false
		}
	}
	return true
}

func (h *healed) explain(text string) {
	for _, id := range h.ids {
		n := h.nodes[id]
		h.t.Logf("replica %d at %s: up %v lost %v applied %d %+v", id, n.addr, n.up, n.lost, n.applied, n.core.Status())
	}
	h.t.Fatalf("%s; %d acknowledged", text, h.oracle.acked)
}

func (h *healed) restart(n *simNode) {
	n.crash()
	n.start()
	h.duties(n)
}

// Guards what was acknowledged, and the group's way back to five voters, where
// replicas lose their disks, come back at the old or a new address, freeze, and
// are cut off, several at once, and nobody orders a change. At most two disks
// are lost before the group is whole again.
func TestHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHealed(t, rapid.Uint64().Draw(t, "seed"))
		h.advance(time.Second)
		pick := func(t *rapid.T) *simNode {
			n := h.nodes[rapid.SampledFrom(h.ids).Draw(t, "replica")]
			if n.lost {
				t.Skip("lost") // another replica is in its place
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				h.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"propose": func(t *rapid.T) {
				n := pick(t)
				if !n.up || n.wake > h.now {
					t.Skip("not running")
				}
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					n.propose()
				}
			},
			"lead": func(t *rapid.T) {
				l := h.leader()
				if l == nil {
					t.Skip("no leader")
				}
				l.propose()
				h.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"partition": func(t *rapid.T) {
				h.heal()
				var side []uint64
				for _, id := range h.ids {
					if rapid.Bool().Draw(t, "side") {
						side = append(side, id)
					}
				}
				h.partition(side...)
			},
			"heal": func(*rapid.T) { h.heal() },
			"network": func(t *rapid.T) {
				h.drop = float64(rapid.IntRange(0, 20).Draw(t, "drop")) / 100
				h.delay = time.Duration(rapid.IntRange(1, 120).Draw(t, "delay")) * time.Millisecond
			},
			"crash": func(t *rapid.T) { pick(t).crash() },
			"restart": func(t *rapid.T) {
				n := pick(t)
				if n.up {
					t.Skip("runs")
				}
				h.restart(n)
			},
			"freeze": func(t *rapid.T) {
				pick(t).freeze(time.Duration(rapid.IntRange(10, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"wipe": func(t *rapid.T) {
				n := pick(t)
				if h.lost >= 2 {
					t.Skip("would lose more than two disks")
				}
				h.wipe(n, rapid.Bool().Draw(t, "replace"))
			},
			"calm": func(*rapid.T) { h.calm() },
		})
		h.calm()
	})
}

// Guards against a replacement that takes longer than the time after which the
// next disks may be lost, and against a fresh replica that never finds a leader
// whose address it was not given.
func TestHealsInTime(t *testing.T) {
	for seed := range uint64(40) {
		for leader := uint64(1); leader <= healVoters; leader++ {
			for _, replace := range []bool{false, true} {
				t.Run(fmt.Sprintf("seed=%d/leader=%d/replace=%t", seed, leader, replace), func(t *testing.T) {
					h := newHealed(t, seed)
					h.delay = 20 * time.Millisecond
					h.advance(time.Second)
					if l := h.leader(); l.id != leader {
						l.core.Transfer(l.clock(), leader)
						l.act()
						h.advance(500 * time.Millisecond)
					}
					if h.leader() == nil || h.leader().id != leader {
						t.Fatal("the lead was not handed over")
					}
					h.leader().propose()
					for id, n := uint64(1), 0; n < 2; id++ {
						if id != leader {
							h.wipe(h.nodes[id], replace)
							n++
						}
					}
					if !h.runUntil(h.now+healTime, func() bool { return h.leader() != nil && h.whole(h.leader(), true) }) {
						h.explain("two replicas are not replaced in time")
					}
				})
			}
		}
	}
}

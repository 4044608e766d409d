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
	healVoters    = 5
	healInterval  = 500 * time.Millisecond // between checks of a replica
	healStepDelay = 100 * time.Millisecond // between membership changes
	// healTimeout is the time within which two lost replicas must be replaced
	// once the faults have ended. Two more may be lost after that.
	healTimeout   = 4 * time.Second
	seedAddrCount = 3
)

// healingGroup is a group whose replicas repair the membership. A replica whose
// disk is lost returns with another ID.
type healingGroup struct {
	*sim
	byAddr  map[netip.AddrPort]*simNode
	healers map[*simNode]*agateheal.Healer
	fresh   map[*simNode]bool
	nextID  uint64
	// seedAddrs are the configured addresses that every replica knows. Operators
	// update them when a host is replaced.
	seedAddrs []netip.AddrPort
	// lostDisks is the number of disks lost since the group was last healthy.
	lostDisks int
}

func replicaAddr(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1)
}

func newHealingGroup(t failer, seed uint64) *healingGroup {
	h := &healingGroup{
		sim: newSim(t, seed), byAddr: map[netip.AddrPort]*simNode{},
		healers: map[*simNode]*agateheal.Healer{}, fresh: map[*simNode]bool{}, nextID: healVoters + 1,
	}
	h.onMessage = func(n *simNode, m agatequorum.Message) { h.healers[n].RecordContact(m.From, virtualTime(n)) }
	var ms agatequorum.Members
	for id := uint64(1); id <= healVoters; id++ {
		ms = append(ms, agatequorum.Member{ID: id, Address: replicaAddr(id)})
		if id <= seedAddrCount {
			h.seedAddrs = append(h.seedAddrs, replicaAddr(id))
		}
	}
	h.memberships = []proposedMembers{{index: 1, term: 1, members: ms}}
	for _, m := range ms {
		h.startAt(h.add(m.ID, ms), m.Address)
	}
	return h
}

// virtualTime returns the local time of a replica.
func virtualTime(n *simNode) time.Time { return time.Unix(1000, 0).Add(n.clock()) }

// startAt assigns an address to a replica and starts its healing.
func (h *healingGroup) startAt(n *simNode, addr netip.AddrPort) {
	n.addr = addr
	h.byAddr[addr] = n
	h.startHealing(n)
}

// startHealing runs the healing at an interval while the process runs.
func (h *healingGroup) startHealing(n *simNode) {
	h.healers[n] = agateheal.New(agateheal.Config{Voters: healVoters})
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		h.join(n)
		h.repair(n)
		h.sim.schedule(healInterval, n, incarnation, tick)
	}
	h.sim.schedule(time.Duration(h.rng.IntN(int(healInterval))), n, incarnation, tick)
}

func (h *healingGroup) view(n *simNode) agateheal.View {
	st := n.core.Status()
	return agateheal.View{
		Now: virtualTime(n), Self: n.id, Term: st.Term, Leader: st.Leader, Members: st.Members, NeverVoter: h.fresh[n],
	}
}

// reaches reports whether replica a can send a request to b and receive the reply.
func (h *healingGroup) reaches(a, b *simNode) bool {
	return b != nil && b.up && b.frozenUntil <= h.now && !h.blocked[[2]uint64{a.id, b.id}] && !h.blocked[[2]uint64{b.id, a.id}]
}

// join asks the leader to add n as a learner, if n should join the group.
func (h *healingGroup) join(n *simNode) {
	v := h.view(n)
	if v.Members.IsVoter(n.id) && v.Leader != 0 {
		h.fresh[n] = false
	}
	if !h.healers[n].ShouldJoin(v) {
		return
	}
	addrs := slices.Clone(h.seedAddrs)
	for _, m := range v.Members {
		addrs = append(addrs, m.Address)
	}
	agateheal.FindLeader(addrs, func(addr netip.AddrPort) (netip.AddrPort, bool) {
		to := h.byAddr[addr]
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

// repair proposes the next membership change if n is the leader.
func (h *healingGroup) repair(n *simNode) {
	if n.core.Status().Role != agatequorum.Leader {
		return
	}
	idAt := func(addr netip.AddrPort) (uint64, bool) {
		to := h.byAddr[addr]
		if !h.reaches(n, to) {
			return 0, false
		}
		return to.id, true
	}
	for _, step := range h.healers[n].Steps(h.view(n), idAt) {
		if n.changeMembers(step.Change) == agatequorum.Accepted {
			// The next change is possible once this one is committed.
			h.sim.schedule(healStepDelay, n, n.incarnation, func() { h.repair(n) })
			return
		}
	}
}

// wipe loses the disk of a replica. A new replica with another ID starts at the
// same address, or at a new one if newAddr is set.
func (h *healingGroup) wipe(n *simNode, newAddr bool) {
	h.lostDisks++
	n.loseDisk()
	addr := n.addr
	if newAddr {
		h.byAddr[addr] = nil
		addr = replicaAddr(h.nextID)
		if i := slices.Index(h.seedAddrs, n.addr); i >= 0 {
			h.seedAddrs[i] = addr
		}
	}
	fresh := h.add(h.nextID, nil)
	h.nextID++
	h.fresh[fresh] = true
	h.startAt(fresh, addr)
}

// checkRecovery ends all faults and checks that the group has five running voters
// again, all of which have applied everything that was acknowledged. It waits up
// to 30 s for the voters, then up to 10 s until a new command is acknowledged and
// all of them have applied it.
func (h *healingGroup) checkRecovery() {
	h.healNetwork()
	h.drop, h.dup, h.maxJitter, h.minWriteTime = 0, 0, 20*time.Millisecond, time.Millisecond
	for _, id := range slices.Clone(h.ids) {
		n := h.nodes[id]
		n.frozenUntil, n.writesFail, n.crashOnWrite = 0, false, false
		if !n.up && !n.diskLost {
			h.restart(n)
		}
	}
	h.runUntil(h.now+30*time.Second, func() bool { return h.leader() != nil && h.healthy(h.leader(), false) })
	before := h.oracle.ackedIndex
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
		return h.oracle.ackedIndex > before && h.healthy(l, true)
	})
	if !ok {
		h.fatalWithStatus("the group did not return to five healthy voters")
	}
	h.lostDisks = 0
}

// healthy reports whether the group has five running voters. With complete set,
// they must also have applied everything that was acknowledged.
func (h *healingGroup) healthy(l *simNode, complete bool) bool {
	st := l.core.Status()
	if st.Members.VoterCount() < healVoters {
		return false
	}
	for _, m := range st.Members {
		if n := h.nodes[m.ID]; !m.Learner && (n.diskLost || !n.up || (complete && n.applied < h.oracle.ackedIndex)) {
			return false
		}
	}
	return true
}

func (h *healingGroup) fatalWithStatus(text string) {
	for _, id := range h.ids {
		n := h.nodes[id]
		h.t.Logf("replica %d at %s: up %v disk lost %v applied %d %+v", id, n.addr, n.up, n.diskLost, n.applied, n.core.Status())
	}
	h.t.Fatalf("%s; acknowledged up to index %d", text, h.oracle.ackedIndex)
}

func (h *healingGroup) restart(n *simNode) {
	n.crash()
	n.start()
	h.startHealing(n)
}

// Guards against the loss of acknowledged entries, and against a group that does
// not return to five voters without an operator, while several replicas at once
// lose their disks, return at the old or a new address, freeze or are partitioned.
// At most two disks are lost before the group is healthy again. An action that is
// skipped is drawn again, so no check is lost.
func TestHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHealingGroup(t, rapid.Uint64().Draw(t, "seed"))
		h.advance(time.Second)
		pick := func(t *rapid.T) *simNode {
			n := h.nodes[rapid.SampledFrom(h.ids).Draw(t, "replica")]
			if n.diskLost {
				t.Skip("disk lost") // another replica has replaced it
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				h.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"propose": func(t *rapid.T) {
				n := pick(t)
				if !n.up || n.frozenUntil > h.now {
					t.Skip("not running")
				}
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					n.propose()
				}
			},
			"leader propose": func(t *rapid.T) {
				l := h.leader()
				if l == nil {
					t.Skip("no leader")
				}
				l.propose()
				h.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"partition": func(t *rapid.T) {
				h.healNetwork()
				var side []uint64
				for _, id := range h.ids {
					if rapid.Bool().Draw(t, "side") {
						side = append(side, id)
					}
				}
				h.partition(side...)
			},
			"heal": func(*rapid.T) { h.healNetwork() },
			"network": func(t *rapid.T) {
				h.drop = float64(rapid.IntRange(0, 20).Draw(t, "drop")) / 100
				h.maxJitter = time.Duration(rapid.IntRange(1, 120).Draw(t, "delay")) * time.Millisecond
			},
			"crash": func(t *rapid.T) { pick(t).crash() },
			"restart": func(t *rapid.T) {
				n := pick(t)
				if n.up {
					t.Skip("running")
				}
				h.restart(n)
			},
			"freeze": func(t *rapid.T) {
				pick(t).freeze(time.Duration(rapid.IntRange(10, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"wipe": func(t *rapid.T) {
				n := pick(t)
				if h.lostDisks >= 2 {
					t.Skip("would lose more than two disks")
				}
				h.wipe(n, rapid.Bool().Draw(t, "replace"))
			},
			"check recovery": func(*rapid.T) { h.checkRecovery() },
		})
		h.checkRecovery()
	})
}

// Guards against a replacement that takes longer than healTimeout, and against a
// new replica that cannot find a leader whose address is not configured.
func TestHealsInTime(t *testing.T) {
	for seed := range uint64(40) {
		for leader := uint64(1); leader <= healVoters; leader++ {
			for _, newAddr := range []bool{false, true} {
				t.Run(fmt.Sprintf("seed=%d/leader=%d/replace=%t", seed, leader, newAddr), func(t *testing.T) {
					h := newHealingGroup(t, seed)
					h.maxJitter = 20 * time.Millisecond
					h.advance(time.Second)
					if l := h.leader(); l.id != leader {
						l.core.TransferLeadership(l.clock(), leader)
						l.processReady()
						h.advance(500 * time.Millisecond)
					}
					if h.leader() == nil || h.leader().id != leader {
						t.Fatal("leadership was not transferred")
					}
					h.leader().propose()
					for id, n := uint64(1), 0; n < 2; id++ {
						if id != leader {
							h.wipe(h.nodes[id], newAddr)
							n++
						}
					}
					if !h.runUntil(h.now+healTimeout, func() bool { return h.leader() != nil && h.healthy(h.leader(), true) }) {
						h.fatalWithStatus("two lost replicas were not replaced in time")
					}
				})
			}
		}
	}
}

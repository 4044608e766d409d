package agatequorum_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agategate/core/agatequorum"
)

func init() {
	// Fixed defaults for reproducible runs. The command line can override them.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against violations of the safety properties under any combination of
// faults, and against a group that does not recover once the faults end.
func TestFaults(t *testing.T) {
	for _, n := range []uint64{3, 5} {
		t.Run(map[uint64]string{3: "three", 5: "five"}[n], func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkFaults(t, n) })
		})
	}
}

func checkFaults(t *rapid.T, replicas uint64) {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"))
	s.startGroup(replicas)
	s.advance(time.Second)
	nextID := replicas + 1
	// A step calls Skip if it does not apply to the current state. rapid then
	// draws another step. The oracle checks the safety properties while the
	// simulation runs.
	pick := func(t *rapid.T) *simNode { return s.nodes[rapid.SampledFrom(s.ids).Draw(t, "replica")] }
	running := func(t *rapid.T) *simNode {
		n := pick(t)
		if !n.up || n.frozenUntil > s.now {
			t.Skip("not running")
		}
		return n
	}
	leader := func(t *rapid.T) *simNode {
		l := s.leader()
		if l == nil {
			t.Skip("no leader")
		}
		return l
	}
	t.Repeat(map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
		},
		"short advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond)
		},
		"propose": func(t *rapid.T) {
			n := running(t)
			for range rapid.IntRange(1, 6).Draw(t, "count") {
				n.propose()
			}
		},
		"leader propose": func(t *rapid.T) {
			n := leader(t)
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				n.propose()
			}
			s.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		},
		"read": func(t *rapid.T) { running(t).read() },
		"partition": func(t *rapid.T) {
			s.healNetwork()
			var side []uint64
			for _, id := range s.ids {
				if rapid.Bool().Draw(t, "side") {
					side = append(side, id)
				}
			}
			s.partition(side...)
		},
		"one-way partition": func(t *rapid.T) { s.blocked[[2]uint64{pick(t).id, pick(t).id}] = true },
		"heal":              func(*rapid.T) { s.healNetwork() },
		"network": func(t *rapid.T) {
			s.drop = float64(rapid.IntRange(0, 30).Draw(t, "drop")) / 100
			s.dup = float64(rapid.IntRange(0, 30).Draw(t, "dup")) / 100
			s.maxJitter = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
		},
		"disk latency": func(t *rapid.T) {
			s.minWriteTime = time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "fsync")) * time.Millisecond
		},
		"crash":       func(t *rapid.T) { pick(t).crash() },
		"fatal write": func(t *rapid.T) { pick(t).crashOnWrite = true },
		"restart": func(t *rapid.T) {
			n := pick(t)
			if n.up || n.diskLost {
				t.Skip("running or disk lost")
			}
			n.start()
		},
		"reset": func(t *rapid.T) {
			n := pick(t)
			if n.diskLost {
				t.Skip("disk lost")
			}
			n.crash()
			n.start()
		},
		"freeze": func(t *rapid.T) {
			n := pick(t)
			n.freeze(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"pause leader": func(t *rapid.T) { pauseLeader(t, s, leader(t)) },
		"full disk":    func(t *rapid.T) { n := pick(t); n.writesFail = !n.writesFail },
		"transfer": func(t *rapid.T) {
			n := leader(t)
			n.core.TransferLeadership(n.clock(), 0)
			n.processReady()
		},
		"add": func(t *rapid.T) {
			if len(s.ids) > 9 {
				t.Skip("enough replicas")
			}
			if leader(t).change(agatequorum.AddLearner, nextID) == agatequorum.Accepted {
				s.add(nextID, nil)
				nextID++
			}
		},
		"promote": func(t *rapid.T) {
			// ElectionMin plus two ticks.
			if s.now-s.diskLostAt < 320*time.Millisecond {
				t.Skip("the leader cannot have noticed the lost disk yet")
			}
			leader(t).change(agatequorum.Promote, pick(t).id)
		},
		"remove": func(t *rapid.T) {
			l := leader(t)
			n := pick(t)
			if !n.diskLost && (l.core.Status().Members.VoterCount() <= 3 || !s.survivesLossOf(n.id)) {
				t.Skip("too few voters")
			}
			l.change(agatequorum.Remove, n.id)
		},
		"lose disk": func(t *rapid.T) {
			n := pick(t)
			if n.diskLost || !s.survivesLossOf(n.id) {
				t.Skip("would lose a majority")
			}
			n.loseDisk()
		},
	})
	s.checkRecovery()
}

// pauseLeader freezes the leader while the others continue, and requests a read
// from it as soon as it resumes, before it has received any message.
func pauseLeader(t *rapid.T, s *sim, l *simNode) {
	l.freeze(time.Duration(rapid.IntRange(200, 900).Draw(t, "ms")) * time.Millisecond)
	s.runUntil(l.frozenUntil-1, func() bool {
		if other := s.leader(); other != nil && len(other.proposals) == 0 {
			other.propose()
		}
		return false
	})
	s.now = l.frozenUntil
	if l.up {
		l.read()
	}
}

// survivesLossOf reports whether every membership that may be in effect still has a
// majority of voters with intact disks after the loss of id. These memberships
// are the last committed one and all proposed after it: their entries may still
// be in transit, and an entry on a replica may be lost in a crash.
func (s *sim) survivesLossOf(id uint64) bool {
	last := uint64(0)
	for _, ch := range s.memberships {
		if s.oracle.terms[ch.index] == ch.term {
			last = max(last, ch.index)
		}
	}
	for _, ch := range s.memberships {
		if ch.index < last || (ch.index == last && s.oracle.terms[last] != ch.term) {
			continue
		}
		ms := ch.members
		intact := 0
		for _, m := range ms {
			if !m.Learner && m.ID != id && !s.nodes[m.ID].diskLost {
				intact++
			}
		}
		if ms.VoterCount() > 0 && 2*intact <= ms.VoterCount() {
			return false
		}
	}
	return true
}

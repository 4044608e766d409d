package agatequorum_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agategate/core/agatequorum"
)

func init() {
	// A fixed seed and length; the command line may name others.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards the safety rules against every mixture of faults, and against a
// group that does not recover once the faults end.
func TestFaults(t *testing.T) {
	for _, n := range []uint64{3, 5} {
		t.Run(map[uint64]string{3: "three", 5: "five"}[n], func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { fuzz(t, n) })
		})
	}
}

func fuzz(t *rapid.T, replicas uint64) {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"))
	s.group(replicas)
	s.advance(time.Second)
	next := replicas + 1
	// Skip in a step means that the step does not apply to the state: rapid
	// draws another one, and the checks run after every step all the same.
	pick := func(t *rapid.T) *simNode { return s.nodes[rapid.SampledFrom(s.ids).Draw(t, "replica")] }
	running := func(t *rapid.T) *simNode {
		n := pick(t)
		if !n.up || n.wake > s.now {
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
		"short": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond)
		},
		"propose": func(t *rapid.T) {
			n := running(t)
			for range rapid.IntRange(1, 6).Draw(t, "count") {
				n.propose()
			}
		},
		"lead": func(t *rapid.T) {
			n := leader(t)
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				n.propose()
			}
			s.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		},
		"read": func(t *rapid.T) { running(t).read() },
		"partition": func(t *rapid.T) {
			s.heal()
			var side []uint64
			for _, id := range s.ids {
				if rapid.Bool().Draw(t, "side") {
					side = append(side, id)
				}
			}
			s.partition(side...)
		},
		"oneway": func(t *rapid.T) { s.blocked[[2]uint64{pick(t).id, pick(t).id}] = true },
		"heal":   func(*rapid.T) { s.heal() },
		"network": func(t *rapid.T) {
			s.drop = float64(rapid.IntRange(0, 30).Draw(t, "drop")) / 100
			s.dup = float64(rapid.IntRange(0, 30).Draw(t, "dup")) / 100
			s.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
		},
		"disk": func(t *rapid.T) {
			s.fsync = time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "fsync")) * time.Millisecond
		},
		"crash":   func(t *rapid.T) { pick(t).crash() },
		"fragile": func(t *rapid.T) { pick(t).fragile = true },
		"restart": func(t *rapid.T) {
			n := pick(t)
			if n.up || n.lost {
				t.Skip("runs or is lost")
			}
			n.start()
		},
		"reset": func(t *rapid.T) {
			n := pick(t)
			if n.lost {
				t.Skip("lost")
			}
			n.crash()
			n.start()
		},
		"freeze": func(t *rapid.T) {
			n := pick(t)
			n.freeze(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"pause leader": func(t *rapid.T) { pauseLeader(t, s, leader(t)) },
		"full":         func(t *rapid.T) { n := pick(t); n.full = !n.full },
		"transfer": func(t *rapid.T) {
			n := leader(t)
			n.core.Transfer(n.clock(), 0)
			n.act()
		},
		"add": func(t *rapid.T) {
			if len(s.ids) > 9 {
				t.Skip("enough replicas")
			}
			if leader(t).change(agatequorum.AddLearner, next) == agatequorum.Accepted {
				s.add(next, nil)
				next++
			}
		},
		"promote": func(t *rapid.T) {
			if s.now-s.lostAt < 320*time.Millisecond {
				t.Skip("the leader cannot know of the loss yet")
			}
			leader(t).change(agatequorum.Promote, pick(t).id)
		},
		"remove": func(t *rapid.T) {
			l := leader(t)
			n := pick(t)
			if !n.lost && (l.core.Status().Members.Voters() <= 3 || !s.survivable(n.id)) {
				t.Skip("too few voters")
			}
			l.change(agatequorum.Remove, n.id)
		},
		"lose": func(t *rapid.T) {
			n := pick(t)
			if n.lost || !s.survivable(n.id) {
				t.Skip("would lose a majority")
			}
			n.lose()
		},
	})
	s.settle()
}

// pauseLeader freezes the leader, lets the others go on, and asks it for a
// read as soon as it resumes, before it has received anything.
func pauseLeader(t *rapid.T, s *sim, l *simNode) {
	l.freeze(time.Duration(rapid.IntRange(200, 900).Draw(t, "ms")) * time.Millisecond)
	s.runUntil(l.wake-1, func() bool {
		if other := s.leader(); other != nil && len(other.asked) == 0 {
			other.propose()
		}
		return false
	})
	s.now = l.wake
	if l.up {
		l.read()
	}
}

// survivable reports whether every membership that may be in force keeps a
// majority with intact disks when id is lost as well. These are the last
// committed one and those proposed after it: their entries may still be in a
// message, and one that a replica holds may be lost in a crash.
func (s *sim) survivable(id uint64) bool {
	last := uint64(0)
	for _, ch := range s.changes {
		if s.oracle.terms[ch.index] == ch.term {
			last = max(last, ch.index)
		}
	}
	for _, ch := range s.changes {
		if ch.index < last || (ch.index == last && s.oracle.terms[last] != ch.term) {
			continue
		}
		ms := ch.members
		intact := 0
		for _, m := range ms {
			if !m.Learner && m.ID != id && !s.nodes[m.ID].lost {
				intact++
			}
		}
		if ms.Voters() > 0 && 2*intact <= ms.Voters() {
			return false
		}
	}
	return true
}

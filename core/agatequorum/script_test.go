package agatequorum_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
)

// Guards against the failures that the scenarios in testdata describe.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			sc := script{t: t, s: newSim(t, 7)}
			sc.s.messageBytes, sc.s.maxInFlight = 4096, 64
			for i, line := range strings.Split(string(data), "\n") {
				words := strings.Fields(strings.Split(line, "#")[0])
				if len(words) == 0 {
					continue
				}
				if problem := sc.run(words); problem != "" {
					t.Fatalf("%s:%d: %s: %s", file, i+1, line, problem)
				}
			}
		})
	}
}

// script runs the commands of a scenario against a simulated group.
// testdata/README.md lists the commands.
type script struct {
	t *testing.T
	s *sim
	// savedTerms holds the terms of all replicas at the last save-terms.
	savedTerms map[uint64]uint64
}

func (sc *script) number(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	assert.NilError(sc.t, err)
	return n
}

func (sc *script) numbers(words []string) []uint64 {
	var ids []uint64
	for _, w := range words {
		ids = append(ids, sc.number(w))
	}
	return ids
}

func (sc *script) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	assert.NilError(sc.t, err)
	return d
}

// run executes one command and returns the reason for a failure, or "".
func (sc *script) run(words []string) string {
	s := sc.s
	name, args := words[0], words[1:]
	node := func() *simNode { return s.nodes[sc.number(args[0])] }
	switch name {
	case "replicas":
		s.startGroup(sc.number(args[0]))
	case "snapshot-every":
		s.snapshotEvery = int(sc.number(args[0]))
		s.catchUpEntries = s.snapshotEvery / 2
	case "fsync":
		s.minWriteTime = sc.duration(args[0])
	case "delay":
		s.oneWayDelay[sc.number(args[0])] = sc.duration(args[1])
	case "clock-rate":
		rate, err := strconv.ParseFloat(args[1], 64)
		assert.NilError(sc.t, err)
		node().clockRate = rate
	case "advance":
		s.advance(sc.duration(args[0]))
	case "partition":
		s.partition(sc.numbers(args)...)
	case "block":
		s.blocked[[2]uint64{sc.number(args[0]), sc.number(args[1])}] = true
	case "heal":
		s.healNetwork()
	case "crash":
		node().crash()
	case "lose-disk":
		node().loseDisk()
	case "restart":
		node().start()
	case "freeze":
		node().freeze(sc.duration(args[1]))
	case "resume":
		s.now = node().frozenUntil
	case "toggle-disk-full":
		node().writesFail = !node().writesFail
	case "add":
		s.add(sc.number(args[0]), nil)
	case "learner", "promote", "remove":
		return sc.change(name, sc.number(args[0]), args[1])
	case "make-leader":
		return sc.makeLeader(node())
	case "await-leader":
		return sc.awaitLeader(sc.numbers(args))
	case "propose":
		return sc.propose(node(), int(sc.number(args[1])), args[2])
	case "read":
		return sc.read(node(), args[1])
	case "reads":
		got := fmt.Sprintf("confirmed %d lost %d", node().confirmedReads, node().lostReads)
		return mismatch(got, strings.Join(args[1:], " "))
	case "role":
		return mismatch(node().core.Status().Role.String(), args[1])
	case "save-terms":
		sc.savedTerms = map[uint64]uint64{}
		for id, n := range s.nodes {
			sc.savedTerms[id] = n.core.Status().Term
		}
	case "same-terms":
		for _, id := range sc.numbers(args) {
			if term := s.nodes[id].core.Status().Term; term != sc.savedTerms[id] {
				return fmt.Sprintf("term %d of replica %d changed to %d", sc.savedTerms[id], id, term)
			}
		}
	case "acked":
		return mismatch(strconv.Itoa(node().ackedCount), args[1])
	case "same-state":
		return sc.sameState(sc.numbers(args))
	case "check-recovery":
		s.checkRecovery()
	default:
		return "unknown command"
	}
	return ""
}

// mismatch compares got with want, in which hyphens stand for spaces. It returns
// "" if they are equal.
func mismatch(got, want string) string {
	want = strings.ReplaceAll(want, "-", " ")
	if strings.ReplaceAll(got, "-", " ") == want {
		return ""
	}
	return fmt.Sprintf("got %q, want %q", got, want)
}

func (sc *script) change(name string, id uint64, want string) string {
	l := sc.s.leader()
	if l == nil {
		return "no leader"
	}
	kind := map[string]agatequorum.ChangeKind{
		"learner": agatequorum.AddLearner, "promote": agatequorum.Promote, "remove": agatequorum.Remove,
	}[name]
	return mismatch(l.change(kind, id).String(), want)
}

// makeLeader transfers the leadership to n.
func (sc *script) makeLeader(n *simNode) string {
	ok := sc.s.runUntil(sc.s.now+20*time.Second, func() bool {
		l := sc.s.leader()
		if l != nil && l != n {
			l.core.TransferLeadership(l.clock(), n.id)
			l.processReady()
		}
		return l == n && l.core.Status().Commit == l.core.Status().LastIndex
	})
	if !ok {
		return "not elected within 20 s"
	}
	return ""
}

// awaitLeader waits until one of ids is the leader and has committed all its
// entries.
func (sc *script) awaitLeader(ids []uint64) string {
	ok := sc.s.runUntil(sc.s.now+10*time.Second, func() bool {
		for _, id := range ids {
			n := sc.s.nodes[id]
			if n.up && n.core.Status().Role == agatequorum.Leader && n.core.Status().Commit == n.core.Status().LastIndex {
				return true
			}
		}
		return false
	})
	if !ok {
		return "none elected within 10 s"
	}
	return ""
}

func (sc *script) propose(n *simNode, count int, want string) string {
	for range count {
		if problem := mismatch(n.propose().String(), want); problem != "" {
			return problem
		}
		sc.s.advance(100 * time.Microsecond)
	}
	return ""
}

func (sc *script) read(n *simNode, want string) string {
	before := n.confirmedReads
	got := "pending"
	if o := n.read(); o != agatequorum.Accepted {
		got = o.String()
	} else if n.confirmedReads > before {
		got = "answered"
	}
	return mismatch(got, want)
}

func (sc *script) sameState(ids []uint64) string {
	first := sc.s.nodes[ids[0]]
	for _, id := range ids[1:] {
		n := sc.s.nodes[id]
		if n.applied != first.applied || n.stateHash != first.stateHash {
			return fmt.Sprintf("states differ: replica %d has applied index %d, replica %d index %d", first.id, first.applied, id, n.applied)
		}
	}
	return ""
}

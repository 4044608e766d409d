package agateaction_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agateaction"
)

// TestMain fixes the seed and the length of the fuzz test; flags override
// them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "3000", "rapid.steps": "120",
		"rapid.shrinktime": "1s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// arrival is the longest way of a request from its caller to a host.
const arrival = agateaction.SeenLag - agateaction.Fresh

// pick draws one of the items that pass, or skips the step.
func pick[T any](t *rapid.T, items []T, pass func(T) bool) T {
	var some []T
	for _, i := range items {
		if pass(i) {
			some = append(some, i)
		}
	}
	if len(some) == 0 {
		// rapid draws another step; no check is left out.
		t.Skip("nothing to do")
	}
	return some[rapid.IntRange(0, len(some)-1).Draw(t, "pick")]
}

func steps(s *sim) map[string]func(*rapid.T) {
	keys := rapid.SampledFrom([]string{"a", "a", "b"})
	payloads := rapid.SampledFrom([]string{"p", "p", "p", "q"})
	alive := func(h *simHost) bool { return !h.dead }
	waits := func(r *request) bool { return r.a == nil && r.up() && s.now-r.sent < arrival }
	return map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			key, payload := keys.Draw(t, "key"), payloads.Draw(t, "payload")
			for range rapid.SampledFrom([]int{1, 1, 3}).Draw(t, "copies") {
				s.send(rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host"), key, payload)
			}
		},
		"arrive": func(t *rapid.T) {
			s.arrive(pick(t, s.requests, waits), rapid.IntRange(0, 5).Draw(t, "admit") > 0)
		},
		"apply": func(t *rapid.T) {
			c := pick(t, s.calls, func(c *call) bool { return c.copies > 0 && c.ready <= s.now })
			if rapid.IntRange(0, 4).Draw(t, "duplicate") == 0 {
				c.copies++
			}
			s.apply(c)
		},
		"answer": func(t *rapid.T) {
			s.answer(pick(t, s.calls, func(c *call) bool { return c.open && c.result != nil && c.r.up() }))
		},
		"lose": func(t *rapid.T) {
			c := pick(t, s.calls, func(c *call) bool { return c.open && c.r.up() })
			if rapid.Bool().Draw(t, "drop") {
				c.copies = 0
			}
			s.lose(c)
		},
		"write": func(t *rapid.T) {
			r := pick(t, s.requests, func(r *request) bool { return r.dispatched && r.up() })
			switch rapid.IntRange(0, 7).Draw(t, "admission") {
			case 0:
				s.deny(r)
			case 1:
				r.dispatched = false
				s.do(r, r.a.AttemptEnded(s.now, notStarted))
			default:
				s.write(r)
			}
		},
		"run": func(t *rapid.T) {
			s.run(pick(t, s.attempts, func(a *attempt) bool { return !a.ran && !a.shed }))
		},
		"end": func(t *rapid.T) {
			a := pick(t, s.attempts, func(a *attempt) bool { return !a.over && a.r.up() })
			s.end(a, a.ran && rapid.IntRange(0, 3).Draw(t, "answer") > 0, !a.ran && rapid.Bool().Draw(t, "shed"))
		},
		"leave": func(t *rapid.T) {
			r := pick(t, s.requests, func(r *request) bool { return r.a != nil && r.up() && len(r.replies) == 0 })
			switch rapid.IntRange(0, 7).Draw(t, "leave") {
			case 0:
				s.leave(r)
			case 1:
				s.deny(r)
			}
		},
		"freeze": func(t *rapid.T) {
			h := pick(t, s.hosts, alive)
			h.frozen = !h.frozen
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "kill") == 0 {
				s.kill(pick(t, s.hosts, alive))
			}
		},
		"beat": func(t *rapid.T) {
			h := pick(t, s.hosts, alive)
			h.seen.Learn(s.now, s.index)
		},
		"sleep": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 20, 20, 150, 400, 1100, 3000, 70_000}).Draw(t, "ms")
			s.advance(time.Duration(ms) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			assert.Equal(t, s.fault, "")
		},
	}
}

// Guards against an action that runs twice, a "not run" about a request
// that ran or runs later, an answer of another request, two replies or none,
// and an action that never ends.
func TestHostsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3)
		t.Repeat(steps(s))
		s.settle()
		assert.Equal(t, s.fault, "")
	})
}

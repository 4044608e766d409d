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

// TestMain sets the defaults of the seed and the length of the randomized test;
// flags override them.
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

// maxDelivery is the longest time that a request takes from its caller to a
// host.
const maxDelivery = agateaction.SeenLag - agateaction.MaxRefusalAge

// pick draws one of the items that match, or skips the action if there is none.
func pick[T any](t *rapid.T, items []T, match func(T) bool) T {
	var matching []T
	for _, i := range items {
		if match(i) {
			matching = append(matching, i)
		}
	}
	if len(matching) == 0 {
		// rapid draws another action, so no check is lost.
		t.Skip("no matching item")
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(t, "pick")]
}

// simActions returns the events of the simulation. rapid selects them in the
// order of their names, so a renamed one changes the runs of a seed.
func simActions(s *sim) map[string]func(*rapid.T) {
	keys := rapid.SampledFrom([]string{"a", "a", "b"})
	payloads := rapid.SampledFrom([]string{"p", "p", "p", "q"})
	alive := func(h *simHost) bool { return !h.dead }
	waits := func(r *request) bool { return r.a == nil && r.hostUp() && s.now-r.sent < maxDelivery }
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
			c := pick(t, s.calls, func(c *call) bool { return c.undelivered > 0 && c.notBefore <= s.now })
			if rapid.IntRange(0, 4).Draw(t, "duplicate") == 0 {
				c.undelivered++
			}
			s.apply(c)
		},
		"answer": func(t *rapid.T) {
			s.answer(pick(t, s.calls, func(c *call) bool { return c.pending && c.result != nil && c.r.hostUp() }))
		},
		"lose": func(t *rapid.T) {
			c := pick(t, s.calls, func(c *call) bool { return c.pending && c.r.hostUp() })
			if rapid.Bool().Draw(t, "drop") {
				c.undelivered = 0
			}
			s.loseResult(c)
		},
		"write": func(t *rapid.T) {
			r := pick(t, s.requests, func(r *request) bool { return r.dispatched && r.hostUp() })
			switch rapid.IntRange(0, 7).Draw(t, "admission") {
			case 0:
				s.notAdmit(r)
			case 1:
				r.dispatched = false
				s.execute(r, r.a.AttemptEnded(s.now, notStarted))
			default:
				s.write(r)
			}
		},
		"run": func(t *rapid.T) {
			s.run(pick(t, s.attempts, func(a *attempt) bool { return !a.ran && !a.shed }))
		},
		"end": func(t *rapid.T) {
			a := pick(t, s.attempts, func(a *attempt) bool { return !a.ended && a.r.hostUp() })
			s.end(a, a.ran && rapid.IntRange(0, 3).Draw(t, "answer") > 0, !a.ran && rapid.Bool().Draw(t, "shed"))
		},
		"leave": func(t *rapid.T) {
			r := pick(t, s.requests, func(r *request) bool { return r.a != nil && r.hostUp() && len(r.replies) == 0 })
			switch rapid.IntRange(0, 7).Draw(t, "leave") {
			case 0:
				s.disconnect(r)
			case 1:
				s.notAdmit(r)
			}
		},
		"freeze": func(t *rapid.T) {
			h := pick(t, s.hosts, alive)
			h.suspended = !h.suspended
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "kill") == 0 {
				s.kill(pick(t, s.hosts, alive))
			}
		},
		"beat": func(t *rapid.T) {
			h := pick(t, s.hosts, alive)
			h.tracker.Observe(s.now, s.index)
		},
		"sleep": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 20, 20, 150, 400, 1100, 3000, 70_000}).Draw(t, "ms")
			s.advance(time.Duration(ms) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			assert.Equal(t, s.violation, "")
		},
	}
}

// Guards against an action that runs twice, a reply "not run" for a request
// that ran or runs later, the answer of another request, two replies or none,
// and an action that never ends.
func TestHostsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3)
		t.Repeat(simActions(s))
		s.settle()
		assert.Equal(t, s.violation, "")
	})
}

package agateaction_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateaction"
)

// A script is a list of lines "COMMAND [ARGUMENT...]". Requests have names;
// all have the key k unless key= says otherwise. "commit R" lets the calls of
// a request be applied and answered. "expect R ..." compares its reply.

// player runs one script.
type player struct {
	t        *testing.T
	s        *sim
	requests map[string]*request
	attempts map[*request]*attempt
}

// call returns the first call of a request that passes.
func (p *player) call(r *request, pass func(*call) bool) *call {
	for _, c := range p.s.calls {
		if c.r == r && pass(c) {
			return c
		}
	}
	p.t.Fatal("no such call")
	return nil
}

func (p *player) play(verb string, args []string) error {
	s := p.s
	name := args[0]
	r := p.requests[name]
	has := func(word string) bool { return strings.Contains(strings.Join(args[1:], " "), word) }
	host := func(text string) int {
		n, err := strconv.Atoi(text)
		if err != nil {
			panic(err)
		}
		return n - 1
	}
	switch verb {
	case "send": // NAME HOST [PAYLOAD]
		payload := "p"
		if len(args) > 2 {
			payload = args[2]
		}
		p.requests[name] = s.send(host(args[1]), "k", payload)
	case "arrive":
		s.arrive(r, !has("denied"))
	case "apply":
		s.apply(p.call(r, func(c *call) bool { return c.copies > 0 }))
	case "answer":
		s.answer(p.call(r, func(c *call) bool { return c.open && c.result != nil }))
	case "lose":
		c := p.call(r, func(c *call) bool { return c.open })
		if has("drop") {
			c.copies = 0
		}
		s.lose(c)
	case "commit":
		c := p.call(r, func(c *call) bool { return c.open && c.copies > 0 })
		s.apply(c)
		s.answer(c)
	case "write":
		n := len(s.attempts)
		s.write(r)
		if len(s.attempts) > n {
			p.attempts[r] = s.attempts[n]
		}
	case "run":
		if p.attempts[r] == nil {
			return fmt.Errorf("nothing was written")
		}
		s.run(p.attempts[r])
	case "end":
		s.end(p.attempts[r], has("answer"), has("shed"))
	case "deny":
		s.deny(r)
	case "leave":
		s.leave(r)
	case "freeze", "thaw":
		s.hosts[host(name)].frozen = verb == "freeze"
		s.timers()
	case "kill":
		s.kill(s.hosts[host(name)])
	case "beat":
		s.hosts[host(name)].seen.Learn(s.now, s.index)
	case "sleep":
		d, err := time.ParseDuration(name)
		if err != nil {
			return err
		}
		s.advance(d)
	case "expect":
		got := "none"
		if len(r.replies) > 0 {
			reply := r.replies[0]
			got = fmt.Sprintf("%v %d %s", reply.Outcome, reply.Status, reply.Reason)
		}
		if want := strings.Join(args[1:], " "); got != want {
			return fmt.Errorf("got %q", got)
		}
	case "runs":
		n := 0
		for _, r := range s.requests {
			n += r.runs
		}
		if strconv.Itoa(n) != name {
			return fmt.Errorf("ran %d times", n)
		}
	case "state":
		if a, _ := s.m.Action("s", "k"); a.State != name {
			return fmt.Errorf("state is %q", a.State)
		}
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}

// Each script guards one way to lose a host or a message; its first line
// names the failure.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			p := &player{t: t, s: newSim(3), requests: map[string]*request{}, attempts: map[*request]*attempt{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				at := fmt.Sprintf("%s:%d: %s", file, i+1, line)
				assert.NilError(t, p.play(words[0], words[1:]), at)
				assert.Equal(t, p.s.fault, "", at)
			}
			p.s.settle()
			assert.Equal(t, p.s.fault, "")
		})
	}
}

// Guards against an index that counts as seen too early, or never while new
// ones are learned all the time.
func TestSeen(t *testing.T) {
	var s agateaction.Seen
	for ms := uint64(1); ms <= 3000; ms++ {
		now := time.Duration(ms) * time.Millisecond
		s.Learn(now, ms)
		s.Learn(now, ms/2)
		age := now - time.Duration(s.At(now))*time.Millisecond
		assert.Assert(t, age >= min(now, agateaction.SeenLag), "at %v", now)
		assert.Assert(t, age <= agateaction.SeenLag+100*time.Millisecond, "at %v", now)
	}
}

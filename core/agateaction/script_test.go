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

// A script consists of lines "COMMAND [ARGUMENT...]"; "#" starts a comment. R
// is the name of a request, HOST the number of a host. All requests have the
// key k.
//
//	send R HOST [PAYLOAD]     send a request to a host
//	arrive R [denied]         deliver the request; the host may deny admission
//	apply R                   apply the first command of the request that is not applied
//	answer R                  deliver the result of that command
//	commit R                  apply a command and deliver its result
//	lose-result R [drop]      report the command as unreachable; drop also loses the command
//	write R                   write the dispatched request to an upstream
//	run R                     run the written request at the upstream
//	end R answer|shed|lost    end the attempt with an answer, shed, or with a lost connection
//	deny R                    deny admission of a request that has arrived
//	disconnect R              close the connection of the caller
//	suspend|resume|kill HOST  suspend, resume or replace a host
//	heartbeat HOST            let the host learn the newest log index
//	sleep DURATION            advance the time
//	expect R none|OUTCOME STATUS REASON  compare the reply
//	runs NUMBER               compare the number of runs of all requests
//	state STATE               compare the state of the action record

// scriptRunner runs one script.
type scriptRunner struct {
	t        *testing.T
	s        *sim
	requests map[string]*request
	attempts map[*request]*attempt
}

// findCall returns the first call of a request that matches.
func (p *scriptRunner) findCall(r *request, match func(*call) bool) *call {
	for _, c := range p.s.calls {
		if c.r == r && match(c) {
			return c
		}
	}
	p.t.Fatal("the request has no matching call")
	return nil
}

func (p *scriptRunner) runLine(verb string, args []string) error {
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
		s.apply(p.findCall(r, func(c *call) bool { return c.undelivered > 0 }))
	case "answer":
		s.answer(p.findCall(r, func(c *call) bool { return c.pending && c.result != nil }))
	case "lose-result":
		c := p.findCall(r, func(c *call) bool { return c.pending })
		if has("drop") {
			c.undelivered = 0
		}
		s.loseResult(c)
	case "commit":
		c := p.findCall(r, func(c *call) bool { return c.pending && c.undelivered > 0 })
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
		s.notAdmit(r)
	case "disconnect":
		s.disconnect(r)
	case "suspend", "resume":
		s.hosts[host(name)].suspended = verb == "suspend"
		s.timers()
	case "kill":
		s.kill(s.hosts[host(name)])
	case "heartbeat":
		s.hosts[host(name)].tracker.Observe(s.now, s.index)
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

// Each script guards against the failures that its first comment names.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			p := &scriptRunner{t: t, s: newSim(3), requests: map[string]*request{}, attempts: map[*request]*attempt{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				at := fmt.Sprintf("%s:%d: %s", file, i+1, line)
				assert.NilError(t, p.runLine(words[0], words[1:]), at)
				assert.Equal(t, p.s.violation, "", at)
			}
			p.s.settle()
			assert.Equal(t, p.s.violation, "")
		})
	}
}

// Guards against an index that counts as seen too early, or never while new
// indexes are learned continuously.
func TestIndexTracker(t *testing.T) {
	var s agateaction.IndexTracker
	for ms := uint64(1); ms <= 3000; ms++ {
		now := time.Duration(ms) * time.Millisecond
		s.Observe(now, ms)
		s.Observe(now, ms/2)
		age := now - time.Duration(s.At(now))*time.Millisecond
		assert.Assert(t, age >= min(now, agateaction.SeenLag), "at %v", now)
		assert.Assert(t, age <= agateaction.SeenLag+100*time.Millisecond, "at %v", now)
	}
}

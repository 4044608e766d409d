package agateaction_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"agategate/core/agateaction"
	"agategate/core/agatestate"
)

// sim is a system on virtual time: entry hosts with their actions, one real
// state machine, callers, and upstreams that count what they run. The
// network between hosts and the state machine may lose, delay, duplicate
// and reorder; each step of it is a method.
type sim struct {
	now      time.Duration
	m        *agatestate.Machine
	index    uint64
	tokens   uint64
	hosts    []*simHost
	calls    []*call
	attempts []*attempt
	requests []*request
	fault    string // first broken rule
}

type simHost struct {
	name   string
	seen   agateaction.Seen
	dead   bool
	frozen bool
}

// request is one copy of a caller's request at one host.
type request struct {
	key, payload string
	host         *simHost
	sent         time.Duration
	a            *agateaction.Action // nil until it arrives
	token        agatestate.Token
	deadline     time.Duration // absolute
	replies      []agateaction.Reply
	repliedAt    time.Duration
	dispatched   bool // waits for an upstream
	gone         bool // its caller left
	committed    bool // "not run" was committed and its host knows
	runs         int
}

// call is one call to the control group.
type call struct {
	r     *request
	cmd   agateaction.Command
	ready time.Duration
	copies,
	applied int
	result *agatestate.Result // waits for its way back
	open   bool
}

// attempt is a request that was written to an upstream.
type attempt struct {
	r               *request
	ran, over, shed bool
}

func newSim(hosts int) *sim {
	s := &sim{m: agatestate.New(agatestate.Config{})}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprintf("h%d", i+1)})
	}
	return s
}

func (s *sim) broken(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// send lets a caller send a request to a host; it arrives by arrive.
func (s *sim) send(host int, key, payload string) *request {
	r := &request{key: key, payload: payload, host: s.hosts[host], sent: s.now}
	s.requests = append(s.requests, r)
	return r
}

func (r *request) up() bool { return !r.host.dead && !r.host.frozen }

// arrive lets the host take the request; admit is false if it has no room.
func (s *sim) arrive(r *request, admit bool) {
	s.tokens++
	binary.BigEndian.PutUint64(r.token[:], s.tokens)
	r.deadline = s.now + 2*time.Second
	r.a = agateaction.New(agateaction.Config{
		Service: "s", Key: r.key, Payload: sha256.Sum256([]byte(r.payload)),
		Holder: r.host.name, Token: r.token, Seen: r.host.seen.At(s.now), Deadline: 2 * time.Second,
	})
	if admit {
		s.do(r, r.a.Arrived(s.now))
	} else {
		s.do(r, r.a.NotAdmitted(s.now, agateaction.Refusal{}))
	}
}

// do carries out commands.
func (s *sim) do(r *request, cmds []agateaction.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case agateaction.Dispatch:
			r.dispatched = true
		case agateaction.Respond:
			r.replies = append(r.replies, *c.Reply)
			r.repliedAt = s.now
			s.checkReply(r)
		case agateaction.Cancel:
		default:
			s.calls = append(s.calls, &call{r: r, cmd: c, ready: s.now + c.After, copies: 1, open: true})
		}
	}
}

// apply lets one copy of a call's command reach the log.
func (s *sim) apply(c *call) {
	c.copies--
	c.applied++
	s.index++
	cmd := c.cmd.State
	cmd.Now = int64(1e12) + s.now.Milliseconds()
	r, err := agatestate.DecodeResult(s.m.Apply(s.index, agatestate.Encode(cmd)))
	if err != nil {
		s.broken("%v", err)
	}
	if c.result == nil {
		c.result = &r
	}
}

// answer lets the result of a call reach its host.
func (s *sim) answer(c *call) {
	c.open = false
	c.r.committed = c.r.committed || c.result.Verdict.NotRun()
	c.r.host.seen.Learn(s.now, c.result.Index)
	s.do(c.r, c.r.a.Answered(s.now, c.cmd.Kind, *c.result))
}

// lose ends a call without a result; copies may still be applied.
func (s *sim) lose(c *call) {
	c.open = false
	s.do(c.r, c.r.a.ControlUnreachable(s.now, c.cmd.Kind))
}

// write lets a host write a dispatched request to an upstream.
func (s *sim) write(r *request) {
	r.dispatched = false
	write, cmds := r.a.AboutToWrite(s.now)
	s.do(r, cmds)
	if !write {
		return
	}
	if s.now >= r.deadline {
		s.broken("%s wrote %s after its deadline", r.host.name, r.key)
	}
	s.attempts = append(s.attempts, &attempt{r: r})
}

// run lets the upstream run what was written.
func (s *sim) run(t *attempt) {
	t.ran = true
	t.r.runs++
	for _, other := range s.requests {
		if other.key != t.r.key {
			continue
		}
		if other != t.r && other.runs > 0 || t.r.runs > 1 {
			s.broken("key %s runs twice", t.r.key)
		}
		if other.payload == t.r.payload && other.refused() && other.repliedAt > t.r.sent {
			s.broken("key %s runs after %q to its caller", t.r.key, other.replies[0].Reason)
		}
	}
}

func (r *request) refused() bool {
	return len(r.replies) > 0 && r.replies[0].Outcome == agateaction.NotRun
}

// end ends an attempt. Without an answer the connection was lost, unless
// the upstream shed the request.
func (s *sim) end(t *attempt, answer, shed bool) {
	t.over, t.shed = true, shed
	e := agateaction.Attempt{Started: !shed}
	if answer {
		e.Answer = &agatestate.Answer{Status: 200, Body: []byte(t.r.payload)}
	}
	s.do(t.r, t.r.a.AttemptEnded(s.now, e))
}

// advance moves time on and calls the timers of the hosts that are up.
func (s *sim) advance(d time.Duration) {
	s.now += d
	s.timers()
}

func (s *sim) timers() {
	again := true
	for n := 0; again; n++ {
		if n > 100 {
			s.broken("a timer does not end")
			return
		}
		again = false
		for _, r := range s.requests {
			if r.a != nil && r.up() && r.a.Due() <= s.now {
				s.do(r, r.a.DeadlinePassed(s.now))
				again = true
			}
		}
	}
}

// checkReply checks what a caller is told.
func (s *sim) checkReply(r *request) {
	reply := r.replies[0]
	if len(r.replies) > 1 {
		s.broken("two replies to one request for %s", r.key)
	}
	if reply.Outcome == agateaction.NotRun && !r.committed {
		s.broken("%q for key %s is not committed", reply.Reason, r.key)
	}
	ran := false
	for _, other := range s.requests {
		if other.key != r.key || other.runs == 0 || other.payload != r.payload {
			continue
		}
		ran = true
		if reply.Outcome == agateaction.NotRun && other.sent < s.now {
			s.broken("%q for key %s, which ran", reply.Reason, r.key)
		}
	}
	if reply.Outcome == agateaction.Run && (!ran || string(reply.Answer.Body) != r.payload) {
		s.broken("answer of key %s is not its own", r.key)
	}
	if reply.Outcome == agateaction.NotRun && reply.Status < 500 && reply.RetryAfter > 0 {
		s.broken("a final refusal asks for a retry")
	}
}

// settle brings the network and all hosts back and lets everything end.
func (s *sim) settle() {
	for _, h := range s.hosts {
		h.frozen = false
	}
	for range 2000 {
		s.timers()
		for _, c := range s.calls {
			for c.copies > 0 && c.ready <= s.now {
				s.apply(c)
			}
			if c.open && c.result != nil && c.r.up() {
				s.answer(c)
			}
		}
		for _, r := range s.requests {
			if r.dispatched && r.up() {
				s.write(r)
			}
		}
		for _, t := range s.attempts {
			if !t.over && t.r.up() {
				if !t.ran {
					s.run(t)
				}
				s.end(t, true, false)
			}
		}
		s.advance(20 * time.Millisecond)
	}
	for _, r := range s.requests {
		if r.a == nil || r.host.dead {
			continue
		}
		if !r.a.Ended() {
			s.broken("request for %s at %s does not end", r.key, r.host.name)
		}
		if len(r.replies) != 1 && !r.gone {
			s.broken("request for %s at %s got %d replies", r.key, r.host.name, len(r.replies))
		}
	}
}

var (
	refusal    = agateaction.Refusal{RetryAfter: 2 * time.Second}
	notStarted = agateaction.Attempt{}
)

// leave lets the caller close its connection.
func (s *sim) leave(r *request) {
	s.do(r, r.a.CallerGone(s.now))
	r.gone = true
}

// deny refuses a request before it is written.
func (s *sim) deny(r *request) {
	r.dispatched = false
	s.do(r, r.a.NotAdmitted(s.now, refusal))
}

// kill ends a host and replaces it by a new process under the same name,
// which reads the newest index before it takes requests.
func (s *sim) kill(h *simHost) {
	for i := range s.hosts {
		if s.hosts[i] == h {
			s.hosts[i] = &simHost{name: h.name}
			s.hosts[i].seen.Learn(s.now, s.index)
		}
	}
	h.dead = true
}

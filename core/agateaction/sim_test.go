package agateaction_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"agategate/core/agateaction"
	"agategate/core/agatestate"
)

// sim simulates a system on virtual time: entry hosts with their actions, one
// real state machine, callers, and upstreams that count their runs. The network
// between the hosts and the state machine may lose, delay, duplicate and
// reorder messages; each event is a method.
type sim struct {
	now       time.Duration
	m         *agatestate.Machine
	index     uint64
	tokens    uint64
	hosts     []*simHost
	calls     []*call
	attempts  []*attempt
	requests  []*request
	violation string // the first violated rule
}

// startMs is the state time at the start of the simulation, in Unix
// milliseconds.
const startMs = 1e12

type simHost struct {
	name      string
	tracker   agateaction.IndexTracker
	dead      bool
	suspended bool
}

// request is one copy of a caller's request at one host.
type request struct {
	key, payload    string
	host            *simHost
	sent            time.Duration
	a               *agateaction.Action // nil until it arrives
	token           agatestate.Token
	deadline        time.Duration // absolute
	replies         []agateaction.Reply
	repliedAt       time.Duration
	dispatched      bool // has a Dispatch that was not processed yet
	callerGone      bool // the caller closed its connection
	notRunCommitted bool // "not run" was committed and the host received that result
	runs            int
}

// call is one submission of a command to the control group.
type call struct {
	r           *request
	cmd         agateaction.Command
	notBefore   time.Duration // earliest time at which the command is applied
	undelivered int           // copies of the command not applied yet
	applied     int
	result      *agatestate.Result // of the first copy applied; nil before
	pending     bool
}

// attempt is a request that was written to an upstream.
type attempt struct {
	r                *request
	ran, ended, shed bool
}

func newSim(hosts int) *sim {
	s := &sim{m: agatestate.New(agatestate.Config{})}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprintf("h%d", i+1)})
	}
	return s
}

func (s *sim) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// send sends a request to a host, where arrive delivers it.
func (s *sim) send(host int, key, payload string) *request {
	r := &request{key: key, payload: payload, host: s.hosts[host], sent: s.now}
	s.requests = append(s.requests, r)
	return r
}

func (r *request) hostUp() bool { return !r.host.dead && !r.host.suspended }

// arrive delivers a request to its host. The host refuses it unless admit is
// set.
func (s *sim) arrive(r *request, admit bool) {
	s.tokens++
	binary.BigEndian.PutUint64(r.token[:], s.tokens)
	r.deadline = s.now + 2*time.Second
	r.a = agateaction.New(agateaction.Config{
		Service: "s", Key: r.key, PayloadHash: sha256.Sum256([]byte(r.payload)),
		Holder: r.host.name, Token: r.token, SeenIndex: r.host.tracker.At(s.now), Timeout: 2 * time.Second,
	})
	if admit {
		s.execute(r, r.a.Arrived(s.now))
	} else {
		s.execute(r, r.a.NotAdmitted(s.now, agateaction.Refusal{}))
	}
}

// execute executes the commands of an action.
func (s *sim) execute(r *request, cmds []agateaction.Command) {
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
			s.calls = append(s.calls, &call{r: r, cmd: c, notBefore: s.now + c.Delay, undelivered: 1, pending: true})
		}
	}
}

// apply appends one copy of the command of a call to the log.
func (s *sim) apply(c *call) {
	c.undelivered--
	c.applied++
	s.index++
	cmd := c.cmd.Control
	cmd.Now = int64(startMs) + s.now.Milliseconds()
	r, err := agatestate.DecodeResult(s.m.Apply(s.index, agatestate.Encode(cmd)))
	if err != nil {
		s.violate("%v", err)
	}
	if c.result == nil {
		c.result = &r
	}
}

// answer delivers the result of a call to its host.
func (s *sim) answer(c *call) {
	c.pending = false
	c.r.notRunCommitted = c.r.notRunCommitted || c.result.Verdict.NotRun()
	c.r.host.tracker.Observe(s.now, c.result.Index)
	s.execute(c.r, c.r.a.ControlAnswered(s.now, c.cmd.Kind, *c.result))
}

// loseResult ends a call without a result. Its copies may still be applied.
func (s *sim) loseResult(c *call) {
	c.pending = false
	s.execute(c.r, c.r.a.ControlUnreachable(s.now, c.cmd.Kind))
}

// write writes a dispatched request to an upstream if its action permits.
func (s *sim) write(r *request) {
	r.dispatched = false
	write, cmds := r.a.StartAttempt(s.now)
	s.execute(r, cmds)
	if !write {
		return
	}
	if s.now >= r.deadline {
		s.violate("%s wrote %s after its deadline", r.host.name, r.key)
	}
	s.attempts = append(s.attempts, &attempt{r: r})
}

// run runs a written request at the upstream.
func (s *sim) run(t *attempt) {
	t.ran = true
	t.r.runs++
	for _, other := range s.requests {
		if other.key != t.r.key {
			continue
		}
		if other != t.r && other.runs > 0 || t.r.runs > 1 {
			s.violate("key %s runs twice", t.r.key)
		}
		if other.payload == t.r.payload && other.refused() && other.repliedAt > t.r.sent {
			s.violate("key %s runs after its caller was told %q", t.r.key, other.replies[0].Reason)
		}
	}
}

func (r *request) refused() bool {
	return len(r.replies) > 0 && r.replies[0].Outcome == agateaction.NotRun
}

// end ends an attempt. Without an answer the connection was lost, unless the
// upstream shed the request.
func (s *sim) end(t *attempt, answer, shed bool) {
	t.ended, t.shed = true, shed
	e := agateaction.AttemptResult{MayHaveRun: !shed}
	if answer {
		e.Answer = &agatestate.Answer{Status: 200, Body: []byte(t.r.payload)}
	}
	s.execute(t.r, t.r.a.AttemptEnded(s.now, e))
}

// advance advances the time and fires the timers of the hosts that are up.
func (s *sim) advance(d time.Duration) {
	s.now += d
	s.timers()
}

func (s *sim) timers() {
	again := true
	for n := 0; again; n++ {
		if n > 100 {
			s.violate("a timer keeps firing at the same time")
			return
		}
		again = false
		for _, r := range s.requests {
			if r.a != nil && r.hostUp() && r.a.NextTimer() <= s.now {
				s.execute(r, r.a.TimerFired(s.now))
				again = true
			}
		}
	}
}

// checkReply checks the reply to a caller and that it is the only one.
func (s *sim) checkReply(r *request) {
	reply := r.replies[0]
	if len(r.replies) > 1 {
		s.violate("two replies to one request for %s", r.key)
	}
	if reply.Outcome == agateaction.NotRun && !r.notRunCommitted {
		s.violate("reply %q for key %s was not committed", reply.Reason, r.key)
	}
	ran := false
	for _, other := range s.requests {
		if other.key != r.key || other.runs == 0 || other.payload != r.payload {
			continue
		}
		ran = true
		if reply.Outcome == agateaction.NotRun && other.sent < s.now {
			s.violate("reply %q for key %s, which ran", reply.Reason, r.key)
		}
	}
	if reply.Outcome == agateaction.Run && (!ran || string(reply.Answer.Body) != r.payload) {
		s.violate("key %s got the answer of another request", r.key)
	}
	if reply.Outcome == agateaction.NotRun && reply.Status < 500 && reply.RetryAfter > 0 {
		s.violate("a final refusal has a Retry-After")
	}
}

// settle resumes all hosts, delivers all messages and checks that every action
// ends with exactly one reply.
func (s *sim) settle() {
	for _, h := range s.hosts {
		h.suspended = false
	}
	for range 2000 {
		s.timers()
		for _, c := range s.calls {
			for c.undelivered > 0 && c.notBefore <= s.now {
				s.apply(c)
			}
			if c.pending && c.result != nil && c.r.hostUp() {
				s.answer(c)
			}
		}
		for _, r := range s.requests {
			if r.dispatched && r.hostUp() {
				s.write(r)
			}
		}
		for _, t := range s.attempts {
			if !t.ended && t.r.hostUp() {
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
			s.violate("request for %s at %s does not end", r.key, r.host.name)
		}
		if len(r.replies) != 1 && !r.callerGone {
			s.violate("request for %s at %s got %d replies", r.key, r.host.name, len(r.replies))
		}
	}
}

var (
	refusal    = agateaction.Refusal{RetryAfter: 2 * time.Second}
	notStarted = agateaction.AttemptResult{}
)

// disconnect closes the connection of the caller.
func (s *sim) disconnect(r *request) {
	s.execute(r, r.a.CallerGone(s.now))
	r.callerGone = true
}

// notAdmit refuses a request before it is written.
func (s *sim) notAdmit(r *request) {
	r.dispatched = false
	s.execute(r, r.a.NotAdmitted(s.now, refusal))
}

// kill ends a host and replaces it by a new process with the same name, which
// learns the newest index before it receives requests.
func (s *sim) kill(h *simHost) {
	for i := range s.hosts {
		if s.hosts[i] == h {
			s.hosts[i] = &simHost{name: h.name}
			s.hosts[i].tracker.Observe(s.now, s.index)
		}
	}
	h.dead = true
}

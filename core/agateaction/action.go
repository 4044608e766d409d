// Package agateaction is the life of one action at one entry host: claim,
// dispatch, finish, release. It decides when the action may be sent to an
// upstream and what the caller may be told about it.
//
// An Action has no goroutine and no clock. Its owner passes in what happens
// together with the time since a fixed moment, which must go on while the
// host is suspended, and carries out the commands that come back, in order.
//
// # Usage
//
//	a := agateaction.New(agateaction.Config{Service: "labels", Key: key, ...})
//	do(a.Arrived(now))
//	// result of a SendClaim:
//	do(a.Answered(now, agateaction.SendClaim, res))
//	// after Dispatch, with a connection to the chosen upstream:
//	write, cmds := a.AboutToWrite(now)
//	if write {
//		// write the request, then
//		cmds = a.AttemptEnded(now, agateaction.Attempt{Started: true, Answer: answer})
//	}
//	do(cmds)
package agateaction

import (
	"net/http"
	"time"

	"agategate/core/agatestate"
)

// Defaults of a Config.
const (
	DefaultGrace  = 5 * time.Second
	DefaultClaim  = 500 * time.Millisecond
	DefaultCommit = 250 * time.Millisecond
	DefaultRecord = time.Minute
	DefaultResend = 100 * time.Millisecond
	// DefaultRetryAfter is told with unknown outcomes; it equals the hold of
	// a tombstone.
	DefaultRetryAfter = time.Second
)

// Config describes one action. Service, Key, Holder and Token are required;
// the zero value of the other durations means their default.
type Config struct {
	Service string
	Key     string
	// Payload is the hash of the caller's whole request.
	Payload agatestate.PayloadHash
	Holder  string
	Epoch   uint64
	// Token is random and used for this Action only.
	Token agatestate.Token
	// Seen is the log index that counted as seen when the request arrived.
	// See Seen.At.
	Seen uint64
	// Deadline is the caller's time left at the arrival.
	Deadline time.Duration
	// Grace is how long after the deadline the upstream's answer is still
	// awaited. The default is 5 s.
	Grace time.Duration
	// Claim is how long the claim may take to be committed before it is
	// released, and how long a refusal without a claim may take. The default
	// is 500 ms.
	Claim time.Duration
	// Commit is how long the caller waits for a release, which turns its
	// answer from unknown into not run. A caller that was given up on is not
	// kept for longer. The default is 250 ms.
	Commit time.Duration
	// Record is how long after the caller's reply an answer or a release is
	// sent again until it is committed. The default is 1 min.
	Record time.Duration
	// Resend is the pause before a command to the control group is sent
	// again. The default is 100 ms.
	Resend time.Duration
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.Grace, DefaultGrace)
	orDefault(&cfg.Claim, DefaultClaim)
	orDefault(&cfg.Commit, DefaultCommit)
	orDefault(&cfg.Record, DefaultRecord)
	orDefault(&cfg.Resend, DefaultResend)
	return cfg
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// phase is where an Action is in its life.
type phase uint8

const (
	fresh     phase = iota
	claiming        // the claim is sent
	waiting         // granted; no byte was written to an upstream
	running         // an attempt may have started
	finishing       // the answer is there, but not recorded
	releasing       // never started and never will; not committed
	refusing        // refused without a claim; not committed
	ended
)

// Action is the life of one action. One goroutine uses it.
type Action struct {
	cfg      Config
	phase    phase
	deadline time.Duration // absolute
	// patience is the time until which the caller waits for the control
	// group, giveUp the time until which commands are sent again; both are
	// absolute.
	patience time.Duration
	giveUp   time.Duration
	// sent is when the last command was handed out.
	sent    time.Duration
	replied bool
	// refusal is the reply once "not run" is committed.
	refusal Reply
	answer  *agatestate.Answer
}

// New returns an action that has not arrived yet.
func New(cfg Config) *Action {
	return &Action{cfg: cfg.withDefaults()}
}

// Arrived starts the action with its claim.
func (a *Action) Arrived(now time.Duration) []Command {
	a.arrive(now)
	if a.cfg.Deadline <= 0 {
		return a.refuse(now, Refusal{Status: http.StatusGatewayTimeout})
	}
	a.phase = claiming
	return []Command{a.claim(now, 0)}
}

func (a *Action) arrive(now time.Duration) {
	a.deadline = now + a.cfg.Deadline
	a.giveUp = a.deadline + a.cfg.Record
	a.wait(now, a.cfg.Claim)
}

// wait starts the caller's patience with the control group.
func (a *Action) wait(now, most time.Duration) {
	a.patience = min(a.deadline, now+most)
}

// Refusal is why and how an action is not admitted.
type Refusal struct {
	// Status is the caller's status, 503 if zero.
	Status     int
	RetryAfter time.Duration
}

// NotAdmitted ends an action that will not be dispatched (again): instead
// of Arrived, or at any time until AboutToWrite has returned true. The
// caller is told "not run" once that is committed.
func (a *Action) NotAdmitted(now time.Duration, r Refusal) []Command {
	switch a.phase {
	case fresh:
		a.arrive(now)
		return a.refuse(now, r)
	case claiming, waiting:
		return a.release(now, r)
	default:
		return nil
	}
}

// AboutToWrite reports whether the first byte may be written to an upstream
// right now. It is called right before, once for each attempt. False comes
// with the commands to carry out instead.
func (a *Action) AboutToWrite(now time.Duration) (bool, []Command) {
	if a.phase != waiting {
		return false, nil
	}
	if now >= a.deadline {
		cmds := a.release(now, Refusal{})
		return false, append(cmds, a.late()...)
	}
	a.phase = running
	return true, nil
}

// Attempt is how an attempt at an upstream ended.
type Attempt struct {
	// Started is false only if the action provably never started: the
	// connection was refused, nothing was written, or the upstream gave the
	// documented answer of shedding it.
	Started bool
	// Answer is the upstream's whole answer, or nil.
	Answer *agatestate.Answer
}

// AttemptEnded ends the attempt of the last Dispatch.
func (a *Action) AttemptEnded(now time.Duration, t Attempt) []Command {
	switch {
	case a.phase != waiting && a.phase != running:
		return nil
	case !t.Started && now < a.deadline && !a.replied:
		a.phase = waiting
		return []Command{{Kind: Dispatch}}
	case !t.Started:
		return a.release(now, Refusal{})
	case t.Answer != nil:
		a.phase = finishing
		a.answer = t.Answer
		a.giveUp = now + a.cfg.Record
		return append(a.reply(run(t.Answer)), a.finish(now, 0))
	default:
		a.phase = ended
		return a.reply(unknownNow())
	}
}

// DeadlinePassed is called at Due.
func (a *Action) DeadlinePassed(now time.Duration) []Command {
	if now < a.Due() {
		return nil
	}
	switch {
	case a.phase == claiming && now < a.deadline:
		return a.release(now, Refusal{})
	case a.phase == claiming || a.phase == waiting:
		return append(a.release(now, Refusal{}), a.late()...)
	case now < a.deadline:
		return a.reply(unclear())
	case a.phase == running && a.replied:
		a.phase = ended
		return []Command{{Kind: Cancel}}
	default:
		return a.late()
	}
}

// CallerGone says that the caller does not wait any more. What runs goes on
// and is recorded, what has not started is released.
func (a *Action) CallerGone(now time.Duration) []Command {
	a.replied = true
	if a.phase == claiming || a.phase == waiting {
		return a.release(now, Refusal{})
	}
	return nil
}

// Due returns the time of the next call of DeadlinePassed. It is far in the
// future if none is needed.
func (a *Action) Due() time.Duration {
	switch {
	case a.phase == ended || a.phase == fresh:
		return 1<<63 - 1
	case a.phase == claiming, !a.replied && (a.phase == releasing || a.phase == refusing):
		return a.patience
	case !a.replied:
		return a.deadline
	case a.phase == running:
		return a.deadline + a.cfg.Grace
	default:
		return 1<<63 - 1
	}
}

// Ended reports whether nothing more will happen: the owner may forget the
// action.
func (a *Action) Ended() bool { return a.phase == ended }

// late replies that the deadline passed.
func (a *Action) late() []Command { return a.reply(unknownNow()) }

// reply replies to the caller unless that was done.
func (a *Action) reply(r Reply) []Command {
	if a.replied {
		return nil
	}
	a.replied = true
	return []Command{{Kind: Respond, Reply: &r}}
}

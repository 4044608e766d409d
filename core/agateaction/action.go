// Package agateaction implements the lifecycle of one action at one entry host:
// claim, dispatch, finish and release. It decides when the action may be sent
// to an upstream and what the caller may be told about it.
//
// An Action has no goroutine and does not read a clock. Its owner reports each
// event with the time since a fixed moment, on a clock that also advances while
// the host is suspended, and executes the returned commands in order.
//
// # Usage
//
//	a := agateaction.New(agateaction.Config{Service: "labels", Key: key, ...})
//	do(a.Arrived(now))
//	// result of a SendClaim:
//	do(a.ControlAnswered(now, agateaction.SendClaim, res))
//	// after Dispatch, with a connection to the chosen upstream:
//	write, cmds := a.StartAttempt(now)
//	if write {
//		// write the request, then
//		cmds = a.AttemptEnded(now, agateaction.AttemptResult{MayHaveRun: true, Answer: answer})
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
	DefaultGrace          = 5 * time.Second
	DefaultClaimTimeout   = 500 * time.Millisecond
	DefaultReleaseTimeout = 250 * time.Millisecond
	DefaultRecordTimeout  = time.Minute
	DefaultResendInterval = 100 * time.Millisecond
)

// UnknownRetryAfter is the Retry-After of replies after a timeout, an attempt
// without an answer or an unconfirmed command. It equals
// agatestate.DefaultTombstoneHold.
const UnknownRetryAfter = time.Second

// Config configures an Action. Service, Key, Holder and Token are required. A
// Timeout that is not positive refuses the action; the other durations take
// their default if they are not positive.
type Config struct {
	Service string
	// Key is the idempotency key.
	Key string
	// PayloadHash is the SHA-256 of the whole request of the caller.
	PayloadHash agatestate.PayloadHash
	// Holder is the name of the entry host, Epoch identifies the process of
	// that host.
	Holder string
	Epoch  uint64
	// Token is random and used for this Action only.
	Token agatestate.Token
	// SeenIndex is the log index that IndexTracker.At returned when the request
	// arrived.
	SeenIndex uint64
	// Timeout is how long the caller still waits, counted from the arrival.
	Timeout time.Duration
	// Grace is how long after the deadline the Action still waits for the
	// answer of the upstream. The default is 5 s.
	Grace time.Duration
	// ClaimTimeout bounds how long the caller waits for the control group to
	// commit a claim, or a refusal without a claim. A claim that is not committed
	// by then is released. The default is 500 ms.
	ClaimTimeout time.Duration
	// ReleaseTimeout bounds how long the caller waits for a release to be
	// committed. If it is, the reply is "not run", otherwise "unknown". The
	// action is already given up by then, so the wait is short: the default is
	// 250 ms.
	ReleaseTimeout time.Duration
	// RecordTimeout is how long a finish, a release or a refusal is sent again
	// until it is committed. It counts from the end of the attempt for a
	// finish, otherwise from the deadline. The default is 1 min.
	RecordTimeout time.Duration
	// ResendInterval is the delay before a command to the control group is sent
	// again. The default is 100 ms.
	ResendInterval time.Duration
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.Grace, DefaultGrace)
	orDefault(&cfg.ClaimTimeout, DefaultClaimTimeout)
	orDefault(&cfg.ReleaseTimeout, DefaultReleaseTimeout)
	orDefault(&cfg.RecordTimeout, DefaultRecordTimeout)
	orDefault(&cfg.ResendInterval, DefaultResendInterval)
	return cfg
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// phase is the state of an Action.
type phase uint8

const (
	created   phase = iota
	claiming        // the claim was sent
	granted         // the claim was granted; no byte was written to an upstream
	running         // an attempt may have started
	finishing       // the answer was received but is not recorded yet
	releasing       // will never start; the release is not committed yet
	refusing        // no claim was granted; the refusal is not committed yet
	ended
)

// Action is the state machine of one action. It is not safe for concurrent use.
type Action struct {
	cfg      Config
	phase    phase
	deadline time.Duration // absolute
	// controlDeadline is the time until which the caller waits for the control
	// group, resendUntil the time until which commands are sent again. Both are
	// absolute.
	controlDeadline time.Duration
	resendUntil     time.Duration
	// sentAt is when the last command to the control group was returned.
	sentAt  time.Duration
	replied bool
	// refusal is the reply to send once "not run" is committed.
	refusal Reply
	answer  *agatestate.Answer
}

// New returns an action whose request has not arrived yet.
func New(cfg Config) *Action {
	return &Action{cfg: cfg.withDefaults()}
}

// Arrived starts the action with its claim, or refuses it if no time is left.
func (a *Action) Arrived(now time.Duration) []Command {
	a.arrive(now)
	if a.cfg.Timeout <= 0 {
		return a.refuse(now, Refusal{Status: http.StatusGatewayTimeout})
	}
	a.phase = claiming
	return []Command{a.claimCommand(now, 0)}
}

func (a *Action) arrive(now time.Duration) {
	a.deadline = now + a.cfg.Timeout
	a.resendUntil = a.deadline + a.cfg.RecordTimeout
	a.limitWait(now, a.cfg.ClaimTimeout)
}

// limitWait bounds how long the caller waits for the control group: until the
// deadline and at most for the duration limit.
func (a *Action) limitWait(now, limit time.Duration) {
	a.controlDeadline = min(a.deadline, now+limit)
}

// Refusal is the reply to a caller whose action is not admitted.
type Refusal struct {
	// Status is the HTTP status of the reply. The default is 503.
	Status     int
	RetryAfter time.Duration
}

// NotAdmitted ends an action that will not be dispatched, or not dispatched
// again. It is called instead of Arrived, or at any time until StartAttempt has
// returned true. The caller is told "not run" once that is committed.
func (a *Action) NotAdmitted(now time.Duration, r Refusal) []Command {
	switch a.phase {
	case created:
		a.arrive(now)
		return a.refuse(now, r)
	case claiming, granted:
		return a.release(now, r)
	default:
		return nil
	}
}

// StartAttempt reports whether the request may be written to an upstream now.
// It must be called once for each attempt, directly before the first byte is
// written. If it returns false, the owner executes the returned commands
// instead.
func (a *Action) StartAttempt(now time.Duration) (bool, []Command) {
	if a.phase != granted {
		return false, nil
	}
	if now >= a.deadline {
		cmds := a.release(now, Refusal{})
		return false, append(cmds, a.replyNoAnswer()...)
	}
	a.phase = running
	return true, nil
}

// AttemptResult states how an attempt at an upstream ended.
type AttemptResult struct {
	// MayHaveRun is false only if the action certainly did not run: the
	// connection was refused, nothing was written, or the upstream gave the
	// documented response for a request that it sheds.
	MayHaveRun bool
	// Answer is the complete response of the upstream, or nil.
	Answer *agatestate.Answer
}

// AttemptEnded reports the end of the attempt of the last Dispatch.
func (a *Action) AttemptEnded(now time.Duration, t AttemptResult) []Command {
	switch {
	case a.phase != granted && a.phase != running:
		return nil
	case !t.MayHaveRun && now < a.deadline && !a.replied:
		a.phase = granted
		return []Command{{Kind: Dispatch}}
	case !t.MayHaveRun:
		return a.release(now, Refusal{})
	case t.Answer != nil:
		a.phase = finishing
		a.answer = t.Answer
		a.resendUntil = now + a.cfg.RecordTimeout
		return append(a.reply(answerReply(t.Answer)), a.finishCommand(now, 0))
	default:
		a.phase = ended
		return a.reply(noAnswerReply())
	}
}

// TimerFired must be called at the time that NextTimer returns.
func (a *Action) TimerFired(now time.Duration) []Command {
	if now < a.NextTimer() {
		return nil
	}
	switch {
	case a.phase == claiming && now < a.deadline:
		return a.release(now, Refusal{})
	case a.phase == claiming || a.phase == granted:
		return append(a.release(now, Refusal{}), a.replyNoAnswer()...)
	case now < a.deadline:
		return a.reply(unconfirmedReply())
	case a.phase == running && a.replied:
		a.phase = ended
		return []Command{{Kind: Cancel}}
	default:
		return a.replyNoAnswer()
	}
}

// CallerGone reports that the caller closed its connection. A running attempt
// continues and its answer is recorded; an action that has not started is
// released.
func (a *Action) CallerGone(now time.Duration) []Command {
	a.replied = true
	if a.phase == claiming || a.phase == granted {
		return a.release(now, Refusal{})
	}
	return nil
}

// NextTimer returns the time of the next call of TimerFired, or the maximum
// duration if none is needed.
func (a *Action) NextTimer() time.Duration {
	switch {
	case a.phase == ended || a.phase == created:
		return 1<<63 - 1
	case a.phase == claiming, !a.replied && (a.phase == releasing || a.phase == refusing):
		return a.controlDeadline
	case !a.replied:
		return a.deadline
	case a.phase == running:
		return a.deadline + a.cfg.Grace
	default:
		return 1<<63 - 1
	}
}

// Ended reports whether the action is complete and its owner may drop it.
func (a *Action) Ended() bool { return a.phase == ended }

// replyNoAnswer replies that there was no answer in time.
func (a *Action) replyNoAnswer() []Command { return a.reply(noAnswerReply()) }

// reply replies to the caller unless it already got a reply or is gone.
func (a *Action) reply(r Reply) []Command {
	if a.replied {
		return nil
	}
	a.replied = true
	return []Command{{Kind: Respond, Reply: &r}}
}

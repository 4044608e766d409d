package agateaction

import (
	"net/http"
	"strconv"
	"time"

	"agategate/core/agatestate"
)

// Kind is the kind of a Command.
type Kind uint8

// The kinds of commands.
const (
	// SendClaim, SendRefuse, SendRelease and SendFinish submit Control to the
	// control group after Delay. Each is followed by one call of
	// ControlAnswered or ControlUnreachable.
	SendClaim Kind = iota + 1
	SendRefuse
	SendRelease
	SendFinish
	// Dispatch requests an upstream. It is followed by NotAdmitted; by
	// StartAttempt and, if that returned true, AttemptEnded; or by AttemptEnded
	// alone if no connection could be made.
	Dispatch
	// Respond sends Reply to the caller.
	Respond
	// Cancel aborts the running attempt. AttemptEnded has no effect afterwards.
	Cancel
)

var kinds = [...]string{"", "claim", "refuse", "release", "finish", "dispatch", "reply", "cancel"}

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Command is an instruction to the owner of an Action.
type Command struct {
	Kind  Kind
	Delay time.Duration
	// Control is the command for the control group. Its Now is zero; the
	// proposing replica sets it.
	Control agatestate.Command
	Reply   *Reply
}

// Outcome states whether the action ran, as reported to the caller.
type Outcome uint8

// The outcomes.
const (
	Run Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the value of the Agate-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Run:
		return "run"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reply is the response to the caller.
type Reply struct {
	Outcome Outcome
	Status  int
	// RetryAfter is zero if the caller should not retry.
	RetryAfter time.Duration
	// Answer is the response of the upstream. It is set only with Run.
	Answer *agatestate.Answer
	// Reason is a one-word cause for logs.
	Reason string
}

func answerReply(answer *agatestate.Answer) Reply {
	return Reply{Outcome: Run, Status: answer.Status, Answer: answer, Reason: "answered"}
}

// noAnswerReply is the reply when the deadline passed or an attempt ended
// without an answer.
func noAnswerReply() Reply {
	return Reply{Outcome: Unknown, Status: http.StatusGatewayTimeout, RetryAfter: UnknownRetryAfter, Reason: "late"}
}

// unconfirmedReply is the reply when the control group did not confirm a
// command in time.
func unconfirmedReply() Reply {
	return Reply{Outcome: Unknown, Status: http.StatusServiceUnavailable, RetryAfter: UnknownRetryAfter, Reason: "unconfirmed"}
}

// verdictReply returns the reply for a verdict other than Granted and Refused.
func verdictReply(r agatestate.Result) Reply {
	reply := Reply{Outcome: Unknown, RetryAfter: r.RetryAfter, Reason: r.Verdict.String()}
	switch r.Verdict {
	case agatestate.Done:
		return Reply{Outcome: Run, Status: r.Answer.Status, Answer: r.Answer, Reason: "stored"}
	case agatestate.InProgress:
		reply.Status = http.StatusConflict
	case agatestate.Mismatch:
		reply.Outcome = NotRun
		reply.Status = http.StatusUnprocessableEntity
	case agatestate.Held, agatestate.Full:
		reply.Outcome = NotRun
		reply.Status = http.StatusServiceUnavailable
	case agatestate.Invalid:
		reply.Outcome = NotRun
		reply.Status = http.StatusBadRequest
	default:
		// The action will not be run again, so a retry is pointless.
		reply.Status = http.StatusGatewayTimeout
	}
	return reply
}

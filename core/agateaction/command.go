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
	// SendClaim, SendRefuse, SendRelease and SendFinish submit State to the
	// control group after the pause After. Each is followed by one call of
	// Answered or ControlUnreachable.
	SendClaim Kind = iota + 1
	SendRefuse
	SendRelease
	SendFinish
	// Dispatch asks for an upstream. It is followed by NotAdmitted, by
	// AboutToWrite and, if that returned true, AttemptEnded; or by
	// AttemptEnded alone if no connection could be made.
	Dispatch
	// Respond sends Reply to the caller.
	Respond
	// Cancel abandons the running attempt; its end is of no interest.
	Cancel
)

var kinds = [...]string{"", "claim", "refuse", "release", "finish", "dispatch", "reply", "cancel"}

// String returns the kind's name in logs.
func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Command is what the owner of an Action has to do.
type Command struct {
	Kind  Kind
	After time.Duration
	// State is the command for the control group, without a clock reading.
	State agatestate.Command
	Reply *Reply
}

// Outcome is what the caller is told about its request.
type Outcome uint8

// The outcomes.
const (
	Run Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the value of the header Agate-Outcome.
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

// Reply is the answer to the caller.
type Reply struct {
	Outcome Outcome
	Status  int
	// RetryAfter is zero if a retry makes no sense.
	RetryAfter time.Duration
	// Answer is the upstream's, with Run only.
	Answer *agatestate.Answer
	// Reason says in one word why, for logs.
	Reason string
}

func run(answer *agatestate.Answer) Reply {
	return Reply{Outcome: Run, Status: answer.Status, Answer: answer, Reason: "answered"}
}

func unknownNow() Reply {
	return Reply{Outcome: Unknown, Status: http.StatusGatewayTimeout, RetryAfter: DefaultRetryAfter, Reason: "late"}
}

// unclear is the reply when the control group did not confirm anything.
func unclear() Reply {
	return Reply{Outcome: Unknown, Status: http.StatusServiceUnavailable, RetryAfter: DefaultRetryAfter, Reason: "unconfirmed"}
}

// replyTo returns the reply for a verdict other than Granted and Refused.
func replyTo(r agatestate.Result) Reply {
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
		// The action will not be run again, so a retry makes no sense.
		reply.Status = http.StatusGatewayTimeout
	}
	return reply
}

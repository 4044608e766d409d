package agatestate

import (
	"strconv"
	"time"
)

// Verdict is the kind of a Result.
type Verdict uint8

// The verdicts.
const (
	// Invalid: the command could not be decoded or exceeds a limit; it has no
	// effect.
	Invalid Verdict = iota
	// Accepted: the command was applied. A Configure made the document revision
	// Revision, which may have been replaced since.
	Accepted
	// Conflict: Base is not the current revision, which Revision, ChangeID and
	// Operator identify.
	Conflict
	// Reused: the change id was used before with another document.
	Reused
	// Granted: the holder of the token may run the action or the probe.
	Granted
	// InProgress: another token holds the action or the probe.
	InProgress
	// Done: Answer is the stored answer.
	Done
	// Unknown: the action may have run and will not be run again. Ran is set if
	// it did run but its answer could not be stored.
	Unknown
	// Mismatch: the key was used with another payload; the action is not run.
	Mismatch
	// Held: the claim may be a copy of a request that was refused, so it is
	// refused too; the action is not run.
	Held
	// Full: there is no room for another action record (the action is not run),
	// fingerprint or upstream.
	Full
	// Refused: it is committed that the action is not run.
	Refused
	// Recorded: the answer is stored or, if it could not be, the fact
	// that the action ran.
	Recorded
	// Missing: no record or probe has this token.
	Missing
	// Expired: Count records were due.
	Expired
	// Counted: Count fingerprints changed.
	Counted
	// Clear: the fingerprint is not a suspect.
	Clear
	// Final: the fingerprint has finalDeaths deaths and is refused.
	Final
	// ProbeEnded: the probe has ended.
	ProbeEnded
	// Disputed: the announcement contradicts a member of the fleet.
	Disputed
)

var verdicts = [...]string{
	"invalid", "accepted", "conflict", "reused", "granted", "in-progress",
	"done", "unknown", "mismatch", "held", "full", "refused", "recorded",
	"missing", "expired", "counted", "clear", "final", "settled", "disputed",
}

// String returns the name of the verdict as it appears in logs.
func (v Verdict) String() string {
	if int(v) < len(verdicts) {
		return verdicts[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// NotRun reports whether the verdict on a Claim, Release or Refuse commits that
// the request is not run: claims of its copies whose SeenIndex is below the
// Index of this result are refused too.
func (v Verdict) NotRun() bool {
	switch v {
	case Mismatch, Held, Full, Refused:
		return true
	default:
		return false
	}
}

// Result is the result of a command.
type Result struct {
	Verdict Verdict
	// Index is the log index of the command.
	Index uint64
	// RetryAfter is the time to wait before a retry, or 0.
	RetryAfter time.Duration
	// Revision, ChangeID and Operator identify the configuration that was
	// accepted or, with Conflict, the current one.
	Revision uint64
	ChangeID string
	Operator string
	// Answer is set with Done.
	Answer *Answer
	// Ran is set with Unknown and Recorded if the action ran, but its answer
	// exceeded MaxAnswerBytes or the space left in MaxBytes.
	Ran bool
	// Count is set with Accepted (of an Announce), Expired, Counted and Full
	// (of a Death or an Announce).
	Count int
}

package agatestate

import (
	"strconv"
	"time"
)

// Verdict is the kind of a Result.
type Verdict uint8

// The verdicts.
const (
	// Invalid: the command could not be decoded or breaks a limit; nothing
	// was changed.
	Invalid Verdict = iota
	// Accepted: the document is in force as Revision.
	Accepted
	// Conflict: Base was not the revision in force, which Revision, Change
	// and Operator name.
	Conflict
	// Reused: the change id was used before with another document.
	Reused
	// Granted: the holder of the token may run the action or the probe.
	Granted
	// InProgress: another token holds the action or the probe.
	InProgress
	// Done: Answer is the stored answer.
	Done
	// Unknown: the action may have run and will not be run again. Ran says
	// that it did, but that its answer was too large to keep.
	Unknown
	// Mismatch: the key was used with another payload; not run.
	Mismatch
	// Held: a tombstone stands against this claim; not run.
	Held
	// Full: no room for another record; not run.
	Full
	// Refused: the statement "not run" is committed.
	Refused
	// Recorded: the answer, or the fact that it was too large, is stored.
	Recorded
	// Missing: no record or probe has this token.
	Missing
	// Expired: Count records were handled.
	Expired
	// Counted: Count fingerprints changed.
	Counted
	// Clear: the fingerprint is no suspect.
	Clear
	// Final: the fingerprint is refused for good.
	Final
	// Settled: the probe has ended.
	Settled
)

var verdicts = [...]string{
	"invalid", "accepted", "conflict", "reused", "granted", "in-progress",
	"done", "unknown", "mismatch", "held", "full", "refused", "recorded",
	"missing", "expired", "counted", "clear", "final", "settled",
}

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	if int(v) < len(verdicts) {
		return verdicts[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// NotRun reports whether the verdict on a Claim, Release or Refuse commits
// that the request is not run: any copy of it that arrived before this
// verdict is refused too.
func (v Verdict) NotRun() bool {
	switch v {
	case Mismatch, Held, Full, Refused:
		return true
	default:
		return false
	}
}

// Result is what a command led to.
type Result struct {
	Verdict Verdict
	// Index is the log index of the command.
	Index uint64
	// RetryAfter is the time after which asking again makes sense, or 0.
	RetryAfter time.Duration
	// Revision, Change and Operator tell the configuration that was accepted
	// or that won.
	Revision uint64
	Change   string
	Operator string
	// Answer is set with Done.
	Answer *Answer
	// Ran is set with Unknown when the action ran but its answer was too
	// large to keep.
	Ran bool
	// Count is set with Expired, Counted and Full (of a Death).
	Count int
}

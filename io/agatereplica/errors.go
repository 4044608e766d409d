package agatereplica

import (
	"errors"
	"fmt"

	"agategate/core/agatequorum"
)

// Errors of a replica. Except for ErrUnknown, an error of Propose means that
// the command has not been and will not be applied.
var (
	// ErrUnknown means that the command was proposed and may still commit.
	ErrUnknown = errors.New("agatereplica: outcome unknown, the command may still commit")
	// ErrRefused means that the request was refused before it was proposed: a
	// queue is full, too many commands are pending, or writes to the store
	// fail.
	ErrRefused = errors.New("agatereplica: refused, the replica is overloaded or cannot write to its disk")
	// ErrStopped means that the replica has stopped.
	ErrStopped = errors.New("agatereplica: stopped")
	// ErrInvalidChange means that a change does not match the membership, such
	// as the removal of a replica that is not a member.
	ErrInvalidChange = errors.New("agatereplica: change does not match the membership")
	// ErrBehind means that a learner does not have a full durable copy yet.
	ErrBehind = errors.New("agatereplica: learner does not have a full durable copy yet")
	// ErrUnsafe means that too few voters are responsive: after a removal they
	// would be no majority of the new membership, or after a promotion they would
	// be none if the promoted replica is lost. A voter that is down must return or
	// be removed first.
	ErrUnsafe = errors.New("agatereplica: too few voters respond for a safe membership change")
	// ErrBusy means that an earlier membership change is not committed yet.
	ErrBusy = errors.New("agatereplica: an earlier membership change is in progress")
)

// NotLeaderError means that this replica is not the leader. Leader is the
// identity of the leader, or zero if it is not known.
type NotLeaderError struct {
	Leader uint64
}

// Error names the leader as far as it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "agatereplica: not the leader, leader unknown"
	}
	return fmt.Sprintf("agatereplica: not the leader, leader is %d", e.Leader)
}

// outcomeError returns the error for an outcome other than Accepted.
func outcomeError(o agatequorum.Outcome, leader uint64) error {
	switch o {
	case agatequorum.NotLeader:
		return &NotLeaderError{Leader: leader}
	case agatequorum.Unavailable:
		return ErrRefused
	case agatequorum.Busy:
		return ErrBusy
	case agatequorum.Behind:
		return ErrBehind
	case agatequorum.Unsafe:
		return ErrUnsafe
	default:
		return ErrInvalidChange
	}
}

// isRetryable reports whether a membership change may succeed later.
func isRetryable(err error) bool {
	return errors.Is(err, ErrBusy) || errors.Is(err, ErrBehind) || errors.Is(err, ErrUnsafe)
}

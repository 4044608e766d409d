package agatereplica

import (
	"errors"
	"fmt"

	"agategate/core/agatequorum"
)

// Errors of a replica. Apart from ErrUnknown, an error of Propose means that
// the command is not and will not be applied.
var (
	// ErrUnknown means that the command was proposed and may still commit.
	ErrUnknown = errors.New("agatereplica: outcome unknown, the command may still commit")
	// ErrFull means that the request was refused before it was proposed: a
	// ring is full, too many commands wait, or the disk is full.
	ErrFull = errors.New("agatereplica: refused, the replica or its disk is full")
	// ErrStopped means that the replica has stopped.
	ErrStopped = errors.New("agatereplica: stopped")
	// ErrMember means that a change does not fit the membership.
	ErrMember = errors.New("agatereplica: change does not fit the membership")
	// ErrBehind means that a learner does not hold a full durable copy yet.
	ErrBehind = errors.New("agatereplica: learner does not hold a full durable copy")
	// ErrUnsafe means that one more loss would leave the new membership
	// without a majority: a voter that is down must be removed or return first.
	ErrUnsafe = errors.New("agatereplica: too few voters answer for this membership change")
	// ErrBusy means that an earlier membership change is not committed yet.
	ErrBusy = errors.New("agatereplica: an earlier membership change is under way")
)

// NotLeaderError means that another replica must be asked. Leader is zero
// when the leader is not known.
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
		return ErrFull
	case agatequorum.Busy:
		return ErrBusy
	case agatequorum.Behind:
		return ErrBehind
	case agatequorum.Unsafe:
		return ErrUnsafe
	default:
		return ErrMember
	}
}

// isEarly reports whether a membership change is worth another try.
func isEarly(err error) bool {
	return errors.Is(err, ErrBusy) || errors.Is(err, ErrBehind) || errors.Is(err, ErrUnsafe)
}

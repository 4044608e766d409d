package agatequorum

// Outcome is the immediate result of a request. Unless it is Accepted, the
// request had no effect.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted means that the request is in progress.
	Accepted Outcome = 1
	// NotLeader means that the replica is not the leader. Propose and
	// ChangeMembers also return it during a leadership transfer.
	NotLeader Outcome = 2
	// Unavailable means that the leader accepts no proposals because its last
	// write failed or MaxUncommitted entries are not yet committed. ChangeMembers
	// returns it only after a failed write.
	Unavailable Outcome = 3
	// Busy means for ChangeMembers that an earlier membership change is not yet
	// committed, or that the leader has not yet committed an entry of its term.
	// For TransferLeadership it means that another transfer is in progress.
	Busy Outcome = 4
	// Behind means that the learner has not caught up with the log.
	Behind Outcome = 5
	// Invalid means that the request is not valid for the current membership.
	Invalid Outcome = 6
	// Unsafe means that too few voters are responsive: after a removal they would
	// not be a majority of the new membership, or after a promotion they would not
	// be one if the promoted replica were lost.
	Unsafe Outcome = 7
)

var outcomeNames = [...]string{"", "accepted", "not leader", "full", "busy", "behind", "invalid", "unsafe"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown outcome"
	}
	return outcomeNames[o]
}

// Role is the role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	Follower     Role = 0
	PreCandidate Role = 1
	Candidate    Role = 2
	Leader       Role = 3
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string {
	if int(r) >= len(roleNames) {
		return "unknown role"
	}
	return roleNames[r]
}

package agatequorum

// Outcome is the immediate answer to a request. Unless it is Accepted, the
// request changed nothing.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted means that the request is under way.
	Accepted Outcome = 1
	// NotLeader means that another replica must be asked.
	NotLeader Outcome = 2
	// Full means that the last write failed or too many entries wait.
	Full Outcome = 3
	// Busy means that an earlier membership change is not committed yet, or
	// that the leader has not committed an entry of its term yet.
	Busy Outcome = 4
	// Behind means that the replica does not hold a full durable copy yet.
	Behind Outcome = 5
	// Invalid means that the request does not fit the membership.
	Invalid Outcome = 6
	// Unsafe means that too few voters answer for the change: one more loss
	// would leave the new membership without a majority.
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

// Role is what a replica does in its term.
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

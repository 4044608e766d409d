package agatequorum

import "time"

// Default values of Config.
const (
	DefaultHeartbeat       = 50 * time.Millisecond
	DefaultElectionMin     = 300 * time.Millisecond
	DefaultElectionMax     = 600 * time.Millisecond
	DefaultMaxMessageBytes = 256 << 10
	DefaultMaxInflight     = 64
	DefaultMaxUncommitted  = 16384
	DefaultCatchUpEntries  = 4096
)

// Config configures a Core. All replicas of a group must use the same timings.
type Config struct {
	// ID identifies this replica. It must not be zero, and must not be reused
	// after the replica's durable state was lost.
	ID uint64
	// Bootstrap is the initial membership of a new group. It is used only if
	// PersistentState.Fresh is set and it contains ID as a voter. All replicas
	// that bootstrap a group must be given the same value.
	Bootstrap Members
	// Heartbeat is the interval between heartbeats. The default is 50 ms.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomised election timeout. A voter
	// grants no vote for ElectionMin after it received a message from the leader.
	// The defaults are 300 ms and 600 ms; ElectionMax is at least twice
	// ElectionMin by default.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Stagger is the difference between the election timeouts of voters with
	// consecutive IDs. It avoids split votes when replicas lose their leader or
	// start at the same time, and must be longer than one round of votes. If it
	// is zero, timeouts are drawn between ElectionMin and ElectionMax.
	Stagger time.Duration
	// Rand returns random bits for the election timeout. Required.
	Rand func() uint64
	// MaxMessageBytes limits the entry data in one message and is the chunk size
	// of snapshots. A single entry that exceeds the limit is still sent. The
	// default is 256 KiB.
	MaxMessageBytes int
	// MaxInflight is the maximum number of unanswered append messages to one
	// replica. The default is 64.
	MaxInflight int
	// MaxUncommitted is the number of uncommitted entries at which the leader
	// rejects proposals. The default is 16,384.
	MaxUncommitted int
	// CatchUpEntries is the number of entries before a snapshot that stay in
	// memory, so that replicas that lag can catch up without a snapshot. The
	// default is 4,096.
	CatchUpEntries int
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.ElectionMin, DefaultElectionMin)
	setDefault(&cfg.ElectionMax, max(DefaultElectionMax, 2*cfg.ElectionMin))
	setDefault(&cfg.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&cfg.MaxInflight, DefaultMaxInflight)
	setDefault(&cfg.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&cfg.CatchUpEntries, DefaultCatchUpEntries)
	return cfg
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

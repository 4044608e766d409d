package agatequorum

import "time"

// Defaults of a Config.
const (
	DefaultHeartbeat   = 50 * time.Millisecond
	DefaultElectionMin = 300 * time.Millisecond
	DefaultElectionMax = 600 * time.Millisecond
	DefaultMaxBytes    = 256 << 10
	DefaultMaxInflight = 64
	DefaultMaxPending  = 16384
	DefaultKeep        = 4096
)

// Config sets up a Core. All replicas of a group use the same timings.
type Config struct {
	// ID is the identity of this replica. It is not zero, and it is never
	// used again after the replica's durable state was lost.
	ID uint64
	// Bootstrap is the membership of a new group. It is used only when
	// Saved.Fresh is set and it names ID as a voter; all replicas that use it
	// must be given the same value.
	Bootstrap Members
	// Heartbeat is the interval between heartbeats. The default is 50 ms.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomised election timeout. A
	// voter refuses its vote for ElectionMin after it heard from a leader.
	// The defaults are 300 ms and 600 ms.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Stagger spaces the election timeouts of the voters by their identities,
	// so that replicas that lose their leader or start together do not compete
	// for votes. It must be longer than a round of votes. Zero draws timeouts
	// between ElectionMin and ElectionMax instead.
	Stagger time.Duration
	// Rand returns random bits for the election timeout. It is required.
	Rand func() uint64
	// MaxBytes bounds the entry data in one message, and is the chunk size of
	// snapshots. A single larger entry is still sent. The default is 256 KiB.
	MaxBytes int
	// MaxInflight is the number of unanswered append messages to one replica.
	// The default is 64.
	MaxInflight int
	// MaxPending is the number of uncommitted entries at which the leader
	// refuses proposals. The default is 16,384.
	MaxPending int
	// Keep is the number of entries before a snapshot that stay in memory
	// for replicas that lag. The default is 4,096.
	Keep int
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.ElectionMin, DefaultElectionMin)
	setDefault(&cfg.ElectionMax, max(DefaultElectionMax, 2*cfg.ElectionMin))
	setDefault(&cfg.MaxBytes, DefaultMaxBytes)
	setDefault(&cfg.MaxInflight, DefaultMaxInflight)
	setDefault(&cfg.MaxPending, DefaultMaxPending)
	setDefault(&cfg.Keep, DefaultKeep)
	return cfg
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

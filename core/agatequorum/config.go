package agatequorum

import "time"

// Default values of Config.
const (
	DefaultHeartbeat       = 50 * time.Millisecond
	DefaultElectionMin     = 300 * time.Millisecond
	DefaultElectionMax     = 600 * time.Millisecond
	DefaultMaxMessageBytes = 256 << 10 // bytes
	DefaultMaxInFlight     = 64        // messages
	DefaultMaxUncommitted  = 16384     // entries
	DefaultCatchUpEntries  = 4096      // entries
	DefaultLogBytes        = 16 << 20  // bytes
)

// Bounds on other parts of the replicated history, as multiples of Config.LogBytes.
const (
	// inFlightShare is the part of LogBytes that is sent to one replica without
	// waiting for its answers. What is sent to all replicas together must pass the
	// link within the retry time, or it is sent again while it is still on its way.
	inFlightShare = 0.125
	// uncommittedFactor leaves room for several large commands that operators send
	// at the same time.
	uncommittedFactor = 4
)

// Config configures a Core. All replicas of a group must use the same timings.
type Config struct {
	// ID identifies this replica. It must not be zero, and must not be reused
	// after the replica's durable state was lost.
	ID uint64
	// Bootstrap is the initial membership of a new group. It is used only if
	// PersistentState.Fresh is set and Bootstrap contains ID as a voter. All
	// replicas that bootstrap a group must be given the same value.
	Bootstrap Members
	// Heartbeat is the interval between heartbeats. The default is 50 ms.
	Heartbeat time.Duration
	// ElectionMin is the shortest election timeout, and the time for which a
	// voter grants no vote after a message from the leader. Without Stagger, the
	// timeout is drawn between ElectionMin and ElectionMax. It doubles, up to 8
	// times its value, while elections fail. A leader steps down after
	// ElectionMax without replies from a majority. The defaults are 300 ms, and
	// 600 ms or twice ElectionMin if that is longer.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Stagger is the difference between the election timeouts of voters next to
	// each other in ID order; a random duration of up to Stagger/2 is added. It
	// avoids split votes when replicas lose their leader or start at the same
	// time, and must be longer than one round of votes. If it is zero, timeouts
	// are drawn between ElectionMin and ElectionMax.
	Stagger time.Duration
	// Rand returns random bits for the election timeout. Required.
	Rand func() uint64
	// MaxMessageBytes limits the size of the entries in one message, counted as
	// their data plus 32 bytes each, and is the chunk size of snapshots. A single
	// entry that exceeds the limit is still sent. The default is 256 KiB.
	MaxMessageBytes int
	// MaxInFlight is the maximum number of unanswered append messages to one
	// replica. The default is 64.
	MaxInFlight int
	// MaxUncommitted is the number of uncommitted entries at which the leader
	// rejects proposals. The default is 16,384.
	MaxUncommitted int
	// CatchUpEntries is the number of entries before a snapshot that stay in
	// memory, so that replicas that lag can catch up without a snapshot. The
	// default is 4,096.
	CatchUpEntries int
	// LogBytes bounds the history that is kept beside the state, counted as the
	// data of the entries plus 32 bytes each. A snapshot is due after LogBytes of
	// entries, or after the size of the last snapshot if that is larger; the same
	// amount stays in memory behind a snapshot, within CatchUpEntries. A replica
	// without a copy therefore receives at most the state and twice that amount.
	// Unanswered messages to one replica are limited to an eighth of LogBytes, and
	// uncommitted entries to four times LogBytes, but one entry of any size always
	// passes. The default is 16 MiB.
	LogBytes int
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.ElectionMin, DefaultElectionMin)
	setDefault(&cfg.ElectionMax, max(DefaultElectionMax, 2*cfg.ElectionMin))
	setDefault(&cfg.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&cfg.MaxInFlight, DefaultMaxInFlight)
	setDefault(&cfg.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&cfg.CatchUpEntries, DefaultCatchUpEntries)
	setDefault(&cfg.LogBytes, DefaultLogBytes)
	return cfg
}

func (cfg *Config) maxInFlightBytes() int { return int(inFlightShare * float64(cfg.LogBytes)) }

func (cfg *Config) maxUncommittedBytes() int { return uncommittedFactor * cfg.LogBytes }

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

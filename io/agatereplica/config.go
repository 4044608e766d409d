package agatereplica

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"agategate/core/agatequorum"
	"agategate/internal/agateclock"
)

// Defaults of a Config.
const (
	DefaultSnapshotEvery = 4096
	DefaultAsks          = 4096
	DefaultInbox         = 256
	DefaultRetry         = 100 * time.Millisecond
)

// ticksPerBeat is the number of ticks in one heartbeat interval.
const ticksPerBeat = 5

// Config sets up a Replica. ID and the function fields down to SaveSnapshot
// are required.
type Config struct {
	// ID is the identity that belongs to the durable state. It is never used
	// again after that state was lost.
	ID uint64
	// Bootstrap is the membership of a new group; see agatequorum.Config.
	Bootstrap agatequorum.Members
	// Saved is the durable state.
	Saved agatequorum.PersistentState

	// Send queues a message for another replica. It must not block and may
	// drop the message, which must not be changed.
	Send func(to uint64, m agatequorum.Message)
	// Apply applies a committed command and returns its result. Apply,
	// Snapshot and Restore are called by one goroutine.
	Apply func(index uint64, data []byte) []byte
	// Snapshot returns the state after the last applied command.
	Snapshot func() ([]byte, error)
	// Restore replaces the state. An error stops the replica.
	Restore func(data []byte) error
	// Append makes hard and entries durable with one fsync. Entries may
	// replace a suffix of the log. After an error it is called again with
	// the same arguments, until it succeeds; meanwhile the replica accepts no
	// commands and acknowledges nothing that depends on the write.
	Append func(hard agatequorum.HardState, entries []agatequorum.Entry) error
	// SaveSnapshot makes a snapshot durable and drops the log up to it. When
	// the log holds another term at the snapshot's index, or ends before it,
	// it drops the whole log.
	SaveSnapshot func(sn agatequorum.Snapshot) error

	// Clock returns the time since a fixed moment. It must not stop while
	// the host is suspended. The default is the boot-time clock.
	Clock func() time.Duration
	// Rand returns random bits. The default is math/rand/v2.
	Rand func() uint64
	// Logger defaults to none.
	Logger hclog.Logger

	// Heartbeat, ElectionMin and ElectionMax default to 50 ms, 300 ms and
	// 600 ms; see agatequorum.Config.
	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Stagger spaces the election timeouts; see agatequorum.Config. The default
	// is none.
	Stagger time.Duration
	// SnapshotEvery is the number of entries between snapshots. The default
	// is 4,096.
	SnapshotEvery int
	// Keep is the number of entries kept in memory behind a snapshot. The
	// default is 4,096.
	Keep int
	// MaxPending is the number of commands that may wait for commitment, and
	// again for their application. The default is 16,384.
	MaxPending int
	// Asks and Inbox are the sizes of the rings for requests of callers and
	// for messages of replicas. The defaults are 4,096 and 256.
	Asks  int
	Inbox int
	// Retry is the pause before a failed write is tried again. The default is
	// 100 ms.
	Retry time.Duration
}

func (cfg Config) withDefaults() (Config, error) {
	if cfg.ID == 0 {
		return cfg, errors.New("agatereplica: Config.ID is zero")
	}
	missing := cfg.Send == nil || cfg.Apply == nil || cfg.Snapshot == nil ||
		cfg.Restore == nil || cfg.Append == nil || cfg.SaveSnapshot == nil
	if missing {
		return cfg, errors.New("agatereplica: Config lacks a required function")
	}
	if cfg.Clock == nil {
		cfg.Clock = agateclock.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Uint64
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	setDefault(&cfg.Heartbeat, agatequorum.DefaultHeartbeat)
	setDefault(&cfg.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&cfg.MaxPending, agatequorum.DefaultMaxUncommitted)
	setDefault(&cfg.Asks, DefaultAsks)
	setDefault(&cfg.Inbox, DefaultInbox)
	setDefault(&cfg.Retry, DefaultRetry)
	return cfg, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (cfg Config) core() agatequorum.Config {
	return agatequorum.Config{
		ID:             cfg.ID,
		Bootstrap:      cfg.Bootstrap,
		Heartbeat:      cfg.Heartbeat,
		ElectionMin:    cfg.ElectionMin,
		ElectionMax:    cfg.ElectionMax,
		Stagger:        cfg.Stagger,
		Rand:           cfg.Rand,
		MaxUncommitted: cfg.MaxPending,
		CatchUpEntries: cfg.Keep,
	}
}

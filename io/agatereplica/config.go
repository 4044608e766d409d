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
	DefaultSnapshotEvery = 4096 // entries
	DefaultRequestQueue  = 4096 // requests
	DefaultInbox         = 256  // messages
	DefaultRetryInterval = 100 * time.Millisecond
)

// ticksPerHeartbeat is the number of ticks in one heartbeat interval.
const ticksPerHeartbeat = 5

// unappliedFactor bounds the entries that wait to be applied, as a multiple of
// Config.LogBytes. It is that of uncommitted entries.
const unappliedFactor = 4

// Config sets up a Replica. ID and the function fields down to SaveSnapshot
// are required.
type Config struct {
	// ID is the identity of the durable state. It must not be reused after that
	// state was lost.
	ID uint64
	// Bootstrap is the membership of a new group; see agatequorum.Config.
	Bootstrap agatequorum.Members
	// Saved is the durable state.
	Saved agatequorum.PersistentState

	// Send queues a message for another replica. It must not block, may drop
	// the message and must not change it.
	Send func(to uint64, m agatequorum.Message)
	// Apply applies a committed command and returns its result. Apply, Snapshot
	// and Restore are called from one goroutine.
	Apply func(index uint64, data []byte) []byte
	// Snapshot returns the state after the last applied command.
	Snapshot func() ([]byte, error)
	// Restore replaces the state. An error stops the replica.
	Restore func(data []byte) error
	// Append makes hard and entries durable with one fsync. Entries may replace
	// a suffix of the log. After an error it is called again with the same
	// arguments until it succeeds; until then the replica accepts no commands
	// and acknowledges nothing that depends on the write.
	Append func(hard agatequorum.HardState, entries []agatequorum.Entry) error
	// SaveSnapshot makes a snapshot durable and drops the log up to it. If the
	// log ends before the snapshot's index or has another term there, it drops
	// the whole log.
	SaveSnapshot func(sn agatequorum.Snapshot) error

	// Clock returns the time since a fixed moment. It must not stop while the
	// host is suspended. The default is the boot-time clock.
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
	// CatchUpEntries is the number of entries kept in memory behind a snapshot,
	// for replicas that lag. The default is 4,096.
	CatchUpEntries int
	// LogBytes bounds the size of the history that is kept beside the state; see
	// agatequorum.Config. Messages of other replicas that carry entries are dropped
	// while LogBytes of them wait to be handled, or four times that to be applied.
	// The default is 16 MiB.
	LogBytes int
	// MaxPending is the maximum number of commands that wait to be committed,
	// and also of those that wait to be applied. The default is 16,384.
	MaxPending int
	// RequestQueue and Inbox are the capacities of the queues for the requests
	// of callers and the messages of replicas. The defaults are 4,096 and 256.
	RequestQueue int
	Inbox        int
	// RetryInterval is the pause before a failed write is retried. The default
	// is 100 ms.
	RetryInterval time.Duration
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
	setDefault(&cfg.LogBytes, agatequorum.DefaultLogBytes)
	setDefault(&cfg.MaxPending, agatequorum.DefaultMaxUncommitted)
	setDefault(&cfg.RequestQueue, DefaultRequestQueue)
	setDefault(&cfg.Inbox, DefaultInbox)
	setDefault(&cfg.RetryInterval, DefaultRetryInterval)
	return cfg, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (cfg Config) coreConfig() agatequorum.Config {
	return agatequorum.Config{
		ID:             cfg.ID,
		Bootstrap:      cfg.Bootstrap,
		Heartbeat:      cfg.Heartbeat,
		ElectionMin:    cfg.ElectionMin,
		ElectionMax:    cfg.ElectionMax,
		Stagger:        cfg.Stagger,
		Rand:           cfg.Rand,
		MaxUncommitted: cfg.MaxPending,
		CatchUpEntries: cfg.CatchUpEntries,
		LogBytes:       cfg.LogBytes,
	}
}

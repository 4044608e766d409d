package agatereplica_test

import (
	"encoding/binary"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

// memStore is a store in memory whose fsync takes time and may fail.
type memStore struct {
	mu    sync.Mutex
	saved agatequorum.PersistentState
	fsync time.Duration
	err   error
	syncs int
	// file, if set, is written and synced instead of sleeping for fsync.
	file *os.File
}

// sync simulates or performs an fsync. It is called with the lock held and
// releases it meanwhile: under virtual time a goroutine that waits for the lock
// would stop the clock.
func (s *memStore) sync() {
	s.mu.Unlock()
	defer s.mu.Lock()
	if s.file == nil {
		time.Sleep(s.fsync)
		return
	}
	if _, err := s.file.Write(make([]byte, 512)); err != nil {
		panic(err)
	}
	if err := s.file.Sync(); err != nil {
		panic(err)
	}
}

func (s *memStore) countedSync() error {
	s.sync()
	s.syncs++
	return s.err
}

func (s *memStore) Append(hard agatequorum.HardState, entries []agatequorum.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countedSync(); err != nil {
		return err
	}
	s.saved.HardState = hard
	if len(entries) > 0 {
		keep := slices.IndexFunc(s.saved.Entries, func(e agatequorum.Entry) bool { return e.Index >= entries[0].Index })
		if keep >= 0 {
			s.saved.Entries = s.saved.Entries[:keep:keep]
		}
		s.saved.Entries = append(s.saved.Entries, entries...)
	}
	return nil
}

func (s *memStore) SaveSnapshot(sn agatequorum.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countedSync(); err != nil {
		return err
	}
	agree := slices.ContainsFunc(s.saved.Entries, func(e agatequorum.Entry) bool { return e.Index == sn.Index && e.Term == sn.Term })
	s.saved.Entries = slices.DeleteFunc(slices.Clone(s.saved.Entries), func(e agatequorum.Entry) bool { return !agree || e.Index <= sn.Index })
	s.saved.Snapshot = sn
	return nil
}

func (s *memStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncs
}

func (s *memStore) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// counter is a state machine that adds numbers and returns the sum.
type counter struct{ sum uint64 }

func (c *counter) apply(_ uint64, data []byte) []byte {
	c.sum += binary.BigEndian.Uint64(data)
	return binary.BigEndian.AppendUint64(nil, c.sum)
}

func (c *counter) snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, c.sum), nil }

func (c *counter) restore(data []byte) error {
	c.sum = binary.BigEndian.Uint64(data)
	return nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// group is a group of replicas whose messages pass through the wire encoding.
type group struct {
	t        testing.TB
	mu       sync.Mutex
	start    time.Time
	replicas map[uint64]*agatereplica.Replica
	stores   map[uint64]*memStore
	machines map[uint64]*counter
	isolated map[uint64]bool
	// sent counts the bytes of entries and snapshots that each replica was sent.
	sent  map[uint64]int
	cfg   agatereplica.Config
	fsync time.Duration
	// hold blocks the drivers of all replicas while it has an item.
	hold chan struct{}
	// openStore, if set, opens the store of a replica in place of a memStore.
	openStore func(id uint64, cfg *agatereplica.Config)
}

func newGroup(t testing.TB, n int, cfg agatereplica.Config) *group {
	g := &group{
		t:        t,
		start:    time.Now(),
		replicas: map[uint64]*agatereplica.Replica{},
		stores:   map[uint64]*memStore{},
		machines: map[uint64]*counter{},
		isolated: map[uint64]bool{},
		sent:     map[uint64]int{},
		cfg:      cfg,
		fsync:    time.Millisecond,
		hold:     make(chan struct{}, 1),
	}
	for id := uint64(1); id <= uint64(n); id++ {
		g.cfg.Bootstrap = append(g.cfg.Bootstrap, agatequorum.Member{ID: id})
	}
	return g
}

func (g *group) open(ids ...uint64) {
	for _, id := range ids {
		st := g.stores[id]
		if st == nil {
			st = &memStore{saved: agatequorum.PersistentState{Fresh: true}, fsync: g.fsync}
			g.stores[id] = st
		}
		m := &counter{}
		cfg := g.cfg
		cfg.ID = id
		cfg.Saved = st.saved
		cfg.Saved.Entries = slices.Clone(st.saved.Entries)
		cfg.Clock = func() time.Duration {
			g.hold <- struct{}{}
			defer func() { <-g.hold }()
			return time.Since(g.start)
		}
		cfg.Apply, cfg.Snapshot, cfg.Restore = m.apply, m.snapshot, m.restore
		cfg.Append, cfg.SaveSnapshot = st.Append, st.SaveSnapshot
		if g.openStore != nil {
			g.openStore(id, &cfg)
		}
		cfg.Send = func(to uint64, msg agatequorum.Message) { g.send(id, to, msg) }
		r, err := agatereplica.Open(cfg)
		assert.NilError(g.t, err)
		g.mu.Lock()
		g.replicas[id] = r
		g.machines[id] = m
		g.mu.Unlock()
		st.saved.Fresh = false
	}
}

func (g *group) send(from, to uint64, msg agatequorum.Message) {
	data, err := agatereplica.EncodeMessage(msg)
	assert.NilError(g.t, err)
	g.mu.Lock()
	r := g.replicas[to]
	isolated := g.isolated[from] || g.isolated[to]
	if r != nil && !isolated {
		g.sent[to] += agatequorum.EntryBytes(msg.Entries...) + len(msg.Snapshot.Data)
	}
	g.mu.Unlock()
	if r == nil || isolated {
		return
	}
	got, err := agatereplica.DecodeMessage(data)
	assert.NilError(g.t, err)
	r.Deliver(from, got)
}

func (g *group) close(ids ...uint64) {
	for _, id := range ids {
		assert.Check(g.t, g.forget(id).Close())
	}
}

func (g *group) sentTo(id uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent[id]
}

// forget removes a replica from the network without closing it.
func (g *group) forget(id uint64) *agatereplica.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[id]
	delete(g.replicas, id)
	return r
}

func (g *group) isolate(id uint64, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[id] = isolated
}

func (g *group) closeAll() {
	for id := range g.stores {
		if g.replicas[id] != nil {
			g.close(id)
		}
	}
}

// leader waits for a leader that is not isolated.
func (g *group) leader() *agatereplica.Replica {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for id, r := range g.replicas {
			if !g.isolated[id] && r.Status().Role == agatequorum.Leader {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
	g.t.Fatal("no leader within 10 s")
	return nil
}

// run runs a test of a group under virtual time.
func run(t *testing.T, n int, cfg agatereplica.Config, test func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, n, cfg)
		t.Cleanup(g.closeAll)
		for id := uint64(1); id <= uint64(n); id++ {
			g.open(id)
		}
		test(t, g)
	})
}

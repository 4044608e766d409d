package agatestore_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agatequorum"
	"agategate/io/agatestore"
)

// TestMain sets defaults for the seed and the length of the property-based
// test. Flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "200", "rapid.steps": "40",
		"rapid.shrinktime": "5s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// expectedState is the state that a store must contain.
type expectedState struct {
	hardState agatequorum.HardState
	snapshot  agatequorum.Snapshot
	entries   []agatequorum.Entry
}

func (s expectedState) lastIndex() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s expectedState) term(index uint64) uint64 {
	if index <= s.snapshot.Index || index > s.lastIndex() {
		return 0
	}
	return s.entries[index-s.snapshot.Index-1].Term
}

func (s expectedState) append(b agatestore.Batch) expectedState {
	s.hardState = b.HardState
	if len(b.Entries) > 0 {
		kept := b.Entries[0].Index - s.snapshot.Index - 1
		s.entries = append(append([]agatequorum.Entry{}, s.entries[:kept]...), b.Entries...)
	}
	return s
}

func (s expectedState) save(sn agatequorum.Snapshot) expectedState {
	if s.term(sn.Index) == sn.Term {
		s.entries = s.entries[sn.Index-s.snapshot.Index:]
	} else {
		s.entries = nil
	}
	s.snapshot = sn
	return s
}

func (s expectedState) String() string {
	text := fmt.Sprintf("%v %v", s.hardState, s.snapshot)
	for _, e := range s.entries {
		text += fmt.Sprintf(" %d/%d/%d:%d:%x", e.Index, e.Term, e.Kind, len(e.Data), sha256.Sum256(e.Data))
	}
	return text
}

func stateOf(saved agatestore.State) expectedState {
	return expectedState{hardState: saved.HardState, snapshot: saved.Snapshot, entries: saved.Entries}
}

func entry(index, term uint64, data []byte) agatequorum.Entry {
	return agatequorum.Entry{Index: index, Term: term, Kind: agatequorum.KindCommand, Data: data}
}

// model runs a store on a faultyDisk and tracks the acknowledged state.
type model struct {
	disk     *faultyDisk
	store    *agatestore.Store
	identity uint64
	acked    expectedState
	// failed holds the states after the writes that have failed since the last
	// one that succeeded.
	failed []expectedState
	// unfinished saves the snapshot once more that failed half-way, if any.
	unfinished func(t *rapid.T)
	term       uint64
	entryCount int
}

func (m *model) open(t assert.TestingT) agatestore.State {
	s, saved, err := agatestore.Open(agatestore.Config{Dir: m.disk.dir, FileOps: m.disk.fileOps()})
	assert.NilError(t, err)
	m.store = s
	assert.Assert(t, m.identity == 0 || m.identity == saved.Identity, "identity changed")
	m.identity = saved.Identity
	return saved
}

// attempt runs one write. A simulated crash leads to a restart, after which the
// write may or may not have taken effect. It returns the error of the write.
func (m *model) attempt(t *rapid.T, write func() error, after expectedState) error {
	crashed := false
	err := func() (err error) {
		defer func() {
			if r := recover(); r == errCrash { //nolint:errorlint // recover returns the panic value itself, never a wrapped error
				crashed = true
			} else if r != nil {
				panic(r)
			}
		}()
		return write()
	}()
	switch {
	case crashed:
		m.failed = append(m.failed, after)
		m.restart(t)
	case err != nil:
		m.failed = append(m.failed, after)
	default:
		m.acked, m.failed = after, nil
	}
	return err
}

// restart ends the process, with or without loss of unsynced data, and reopens
// the store. The state must be the acknowledged one or the one after a write that
// failed since.
func (m *model) restart(t *rapid.T) {
	m.store.Close()
	stop := m.disk.crash
	if rapid.Bool().Draw(t, "kill") {
		stop = m.disk.kill
	}
	stop()
	if rapid.IntRange(0, 4).Draw(t, "crash in open") == 0 {
		m.disk.stepsToCrash = rapid.IntRange(0, 6).Draw(t, "point")
		m.openAndCrash(stop)
	}
	got := stateOf(m.open(t))
	possible := append([]expectedState{m.acked}, m.failed...)
	found := slices.ContainsFunc(possible, func(s expectedState) bool { return s.String() == got.String() })
	assert.Assert(t, found, "got %v\nacknowledged, or after a failed write: %v", got, possible)
	m.acked, m.failed, m.unfinished = got, nil, nil
}

func (m *model) openAndCrash(stop func()) {
	defer func() {
		if r := recover(); r != nil && r != errCrash { //nolint:errorlint // recover returns the panic value itself, never a wrapped error
			panic(r)
		}
		stop()
	}()
	s, _, err := agatestore.Open(agatestore.Config{Dir: m.disk.dir, FileOps: m.disk.fileOps()})
	if err == nil {
		s.Close()
	}
}

func (m *model) append(t *rapid.T) {
	if m.unfinished != nil {
		assert.ErrorIs(t, m.store.Append(agatestore.Batch{}), agatestore.ErrUnfinished)
		return
	}
	a := m.acked
	m.term += rapid.Uint64Range(0, 1).Draw(t, "term")
	b := agatestore.Batch{HardState: agatequorum.HardState{Term: m.term, Vote: rapid.Uint64Range(0, 3).Draw(t, "vote"), Commit: a.snapshot.Index}}
	first := rapid.Uint64Range(a.snapshot.Index+1, a.lastIndex()+1).Draw(t, "first")
	if rapid.Bool().Draw(t, "at end") {
		first = a.lastIndex() + 1
	}
	for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
		m.entryCount++
		data := bytes.Repeat([]byte{byte(m.entryCount % 3)}, rapid.SampledFrom([]int{0, 5, 600, 1500}).Draw(t, "size"))
		b.Entries = append(b.Entries, entry(first+i, m.term, data))
	}
	input := b
	if first == a.snapshot.Index+1 && first > 1 && rapid.Bool().Draw(t, "covered") {
		input.Entries = append([]agatequorum.Entry{entry(first-1, 1, nil)}, b.Entries...)
	}
	_ = m.attempt(t, func() error { return m.store.Append(input) }, a.append(b)) // it may be tried again
}

func (m *model) snapshot(t *rapid.T) {
	if m.unfinished != nil {
		m.unfinished(t)
		return
	}
	a := m.acked
	sn := agatequorum.Snapshot{Index: rapid.Uint64Range(a.snapshot.Index+1, a.lastIndex()+3).Draw(t, "index")}
	sn.Term = a.term(sn.Index)
	if sn.Term == 0 || rapid.IntRange(0, 4).Draw(t, "conflict") == 0 {
		m.term++
		sn.Term = m.term
	}
	sn.Data = rapid.SliceOfN(rapid.Byte(), 1, 10).Draw(t, "data")
	sn.Members = agatequorum.Members{{ID: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}, {ID: 2, Learner: true}}
	m.saveSnapshot(t, sn, a.save(sn))
}

// saveSnapshot saves a snapshot, and finds out whether it failed half-way.
func (m *model) saveSnapshot(t *rapid.T, sn agatequorum.Snapshot, after expectedState) {
	m.unfinished = nil
	err := m.attempt(t, func() error { return m.store.SaveSnapshot(sn) }, after)
	if err == nil {
		return
	}
	other := agatequorum.Snapshot{Index: m.acked.snapshot.Index} // not newer than the stored one
	if errors.Is(m.store.SaveSnapshot(other), agatestore.ErrUnfinished) {
		m.unfinished = func(t *rapid.T) { m.saveSnapshot(t, sn, after) }
	}
}

// Guards against lost acknowledged writes, reappearance of replaced entries
// and a directory that cannot be opened, under crashes at any file operation,
// short writes, a full disk, and failing syncs, renames and truncations.
func TestStoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "store")
		assert.NilError(t, err)
		defer os.RemoveAll(dir)
		m := &model{disk: newDisk(dir, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "disk") }), term: 1}
		assert.Assert(t, m.open(t).Fresh)
		t.Repeat(map[string]func(*rapid.T){
			"append":   m.append,
			"append2":  m.append, // a second key doubles the frequency of appends
			"snapshot": m.snapshot,
			"fail": func(t *rapid.T) {
				kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"write", "full", "sync", "sync-dir", "truncate", "rename"}), 1, 4).Draw(t, "kinds")
				m.disk.failNext, m.disk.failLater = kinds[0], kinds[1:]
			},
			"crash": func(t *rapid.T) {
				m.disk.stepsToCrash = rapid.IntRange(0, 8).Draw(t, "point")
			},
			"restart": func(t *rapid.T) {
				m.restart(t)
			},
		})
		m.store.Close()
	})
}

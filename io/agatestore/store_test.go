package agatestore_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agatequorum"
	"agategate/io/agatestore"
)

// TestMain fixes the seed and the length of the fuzz test; flags override
// them.
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

// state is what a store should hold.
type state struct {
	hard     agatequorum.HardState
	snapshot agatequorum.Snapshot
	entries  []agatequorum.Entry
}

func (s state) last() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s state) term(index uint64) uint64 {
	if index <= s.snapshot.Index || index > s.last() {
		return 0
	}
	return s.entries[index-s.snapshot.Index-1].Term
}

func (s state) append(b agatestore.Batch) state {
	s.hard = b.Hard
	if len(b.Entries) > 0 {
		keep := b.Entries[0].Index - s.snapshot.Index - 1
		s.entries = append(append([]agatequorum.Entry{}, s.entries[:keep]...), b.Entries...)
	}
	return s
}

func (s state) save(sn agatequorum.Snapshot) state {
	if s.term(sn.Index) == sn.Term {
		s.entries = s.entries[sn.Index-s.snapshot.Index:]
	} else {
		s.entries = nil
	}
	s.snapshot = sn
	return s
}

func (s state) String() string {
	text := fmt.Sprintf("%v %v", s.hard, s.snapshot)
	for _, e := range s.entries {
		text += fmt.Sprintf(" %d/%d/%d:%d:%x", e.Index, e.Term, e.Kind, len(e.Data), sha256.Sum256(e.Data))
	}
	return text
}

func found(saved agatestore.Saved) state {
	return state{hard: saved.HardState, snapshot: saved.Snapshot, entries: saved.Entries}
}

func entry(index, term uint64, data []byte) agatequorum.Entry {
	return agatequorum.Entry{Index: index, Term: term, Kind: agatequorum.KindCommand, Data: data}
}

// model runs a store on a disk that fails and crashes.
type model struct {
	d     *disk
	s     *agatestore.Store
	id    uint64
	acked state
	term  uint64
	count int
}

func (m *model) open(t assert.TestingT) agatestore.Saved {
	s, saved, err := agatestore.Open(agatestore.Config{Dir: m.d.dir, Files: m.d.seams()})
	assert.NilError(t, err)
	m.s = s
	assert.Assert(t, m.id == 0 || m.id == saved.Identity, "identity changed")
	m.id = saved.Identity
	return saved
}

// attempt runs one write. A crash point or an error that breaks the store is
// followed by a crash, after which the write may have happened or not.
func (m *model) attempt(t *rapid.T, write func() error, after state) {
	crashed := false
	err := func() (err error) {
		defer func() {
			if r := recover(); r == errCrash { //nolint:errorlint // identity is meant
				crashed = true
			} else if r != nil {
				panic(r)
			}
		}()
		return write()
	}()
	broken := errors.Is(err, agatestore.ErrBroken)
	if err == nil && !crashed {
		m.acked = after
		return
	}
	if broken {
		assert.ErrorIs(t, m.s.Append(agatestore.Batch{}), agatestore.ErrBroken)
	}
	if crashed || broken {
		m.restart(t, after)
	}
}

// restart crashes the disk and opens it; the state must be the acknowledged
// one or the one after a write that was not acknowledged.
func (m *model) restart(t *rapid.T, or state) {
	m.s.Close()
	end := m.d.crash
	if rapid.Bool().Draw(t, "kill") {
		end = m.d.kill
	}
	end()
	if rapid.IntRange(0, 4).Draw(t, "crash in open") == 0 {
		m.d.crashAt = rapid.IntRange(0, 6).Draw(t, "point")
		m.openAndCrash(end)
	}
	got := found(m.open(t))
	assert.Assert(t, got.String() == m.acked.String() || got.String() == or.String(),
		"got %v\nacknowledged %v\nor %v", got, m.acked, or)
	m.acked = got
}

func (m *model) openAndCrash(end func()) {
	defer func() {
		if r := recover(); r != nil && r != errCrash { //nolint:errorlint // identity is meant
			panic(r)
		}
		end()
	}()
	s, _, err := agatestore.Open(agatestore.Config{Dir: m.d.dir, Files: m.d.seams()})
	if err == nil {
		s.Close()
	}
}

func (m *model) append(t *rapid.T) {
	a := m.acked
	m.term += rapid.Uint64Range(0, 1).Draw(t, "term")
	b := agatestore.Batch{Hard: agatequorum.HardState{Term: m.term, Vote: rapid.Uint64Range(0, 3).Draw(t, "vote"), Commit: a.snapshot.Index}}
	first := rapid.Uint64Range(a.snapshot.Index+1, a.last()+1).Draw(t, "first")
	if rapid.Bool().Draw(t, "at end") {
		first = a.last() + 1
	}
	for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
		m.count++
		data := bytes.Repeat([]byte{byte(m.count % 3)}, rapid.SampledFrom([]int{0, 5, 600, 1500}).Draw(t, "size"))
		b.Entries = append(b.Entries, entry(first+i, m.term, data))
	}
	given := b
	if first == a.snapshot.Index+1 && first > 1 && rapid.Bool().Draw(t, "covered") {
		given.Entries = append([]agatequorum.Entry{entry(first-1, 1, nil)}, b.Entries...)
	}
	m.attempt(t, func() error { return m.s.Append(given) }, a.append(b))
}

func (m *model) snapshot(t *rapid.T) {
	a := m.acked
	sn := agatequorum.Snapshot{Index: rapid.Uint64Range(a.snapshot.Index+1, a.last()+3).Draw(t, "index")}
	sn.Term = a.term(sn.Index)
	if sn.Term == 0 || rapid.IntRange(0, 4).Draw(t, "conflict") == 0 {
		m.term++
		sn.Term = m.term
	}
	sn.Data = rapid.SliceOfN(rapid.Byte(), 1, 10).Draw(t, "data")
	sn.Members = agatequorum.Members{{ID: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}, {ID: 2, Learner: true}}
	m.attempt(t, func() error { return m.s.SaveSnapshot(sn) }, a.save(sn))
}

// Guards against lost acknowledged writes, resurrected replaced entries and
// a directory that does not open, under crashes at each file operation,
// short writes, a full disk, and failing syncs, renames and truncations.
func TestStoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "store")
		assert.NilError(t, err)
		defer os.RemoveAll(dir)
		m := &model{d: newDisk(dir, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "disk") }), term: 1}
		assert.Assert(t, m.open(t).Fresh)
		t.Repeat(map[string]func(*rapid.T){
			"append":   m.append,
			"again":    m.append,
			"snapshot": m.snapshot,
			"fail": func(t *rapid.T) {
				m.d.fail = rapid.SampledFrom([]string{"write", "full", "sync", "truncate", "rename"}).Draw(t, "kind")
			},
			"die": func(t *rapid.T) {
				m.d.crashAt = rapid.IntRange(0, 8).Draw(t, "point")
			},
			"restart": func(t *rapid.T) {
				m.restart(t, m.acked)
			},
		})
		m.s.Close()
	})
}

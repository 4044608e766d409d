package agatestore_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatestore"
)

// noSync skips fsync to speed up tests that do not simulate a power failure.
var noSync = agatestore.FileOps{
	Sync:    func(*os.File) error { return nil },
	SyncDir: func(string) error { return nil },
}

// populatedDir returns a directory with a closed segment, a snapshot and an
// active segment, and the sequence of acknowledged states.
func populatedDir(t testing.TB) (dir string, states []expectedState) {
	dir = t.TempDir()
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	current := stateOf(saved)
	states = append(states, current)
	appendBatch := func(b agatestore.Batch) {
		assert.NilError(t, s.Append(b))
		current = current.append(b)
		states = append(states, current)
	}
	hard := agatequorum.HardState{Term: 1, Vote: 2}
	appendBatch(agatestore.Batch{HardState: hard})
	appendBatch(agatestore.Batch{HardState: hard, Entries: []agatequorum.Entry{entry(1, 1, []byte("one")), entry(2, 1, make([]byte, 700))}})
	hard.Commit = 2
	appendBatch(agatestore.Batch{HardState: hard, Entries: []agatequorum.Entry{entry(3, 1, []byte("three")), entry(4, 1, nil)}})
	hard.Vote = 3
	appendBatch(agatestore.Batch{HardState: hard})
	sn := agatequorum.Snapshot{Index: 2, Term: 1, Members: agatequorum.Members{{ID: 7}}, Data: []byte("state")}
	assert.NilError(t, s.SaveSnapshot(sn))
	current = current.save(sn)
	states = append(states, current)
	hard.Term = 2
	appendBatch(agatestore.Batch{HardState: hard, Entries: []agatequorum.Entry{entry(4, 2, []byte("other four"))}})
	appendBatch(agatestore.Batch{HardState: hard, Entries: []agatequorum.Entry{entry(5, 2, bytes.Repeat([]byte{7}, 1100))}})
	// The data of the last write contains sectors of zeros, like a file after
	// a crash.
	appendBatch(agatestore.Batch{HardState: hard, Entries: []agatequorum.Entry{entry(6, 2, make([]byte, 1500))}})
	assert.NilError(t, s.Close())
	return dir, states
}

// openWithFile opens a directory with the contents of one file replaced,
// restores all files, and returns the index of the recovered state in states,
// or -1 if Open returned ErrCorrupt.
func openWithFile(t testing.TB, dir, name string, b []byte, states []expectedState) int {
	files := map[string][]byte{}
	for _, n := range dataFiles(dir) {
		files[n], _ = os.ReadFile(n)
	}
	assert.NilError(t, os.WriteFile(name, b, 0o600))
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir, FileOps: noSync})
	if err == nil {
		assert.NilError(t, s.Close())
	}
	for _, n := range dataFiles(dir) {
		if files[n] == nil {
			os.Remove(n)
		}
	}
	for n, b := range files {
		os.WriteFile(n, b, 0o600)
	}
	if err != nil {
		assert.ErrorIs(t, err, agatestore.ErrCorrupt)
		assert.ErrorContains(t, err, "offset")
		return -1
	}
	for i, s := range states {
		if s.String() == stateOf(saved).String() {
			return i
		}
	}
	t.Fatalf("%s: recovered a state that was never acknowledged: %v", name, stateOf(saved))
	return 0
}

// Guards against a changed byte that goes undetected and loses or alters
// acknowledged state, including in the last write of the log.
func TestEveryFlippedByte(t *testing.T) {
	dir, states := populatedDir(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, name := range dataFiles(dir) {
		whole, err := os.ReadFile(name)
		assert.NilError(t, err)
		for i := range whole {
			// Flip one bit, change the byte at random, set it to zero.
			for _, mask := range []byte{1 << rng.IntN(8), byte(1 + rng.IntN(255)), whole[i]} {
				if mask == 0 {
					continue
				}
				bad := bytes.Clone(whole)
				bad[i] ^= mask
				got := openWithFile(t, dir, name, bad, states)
				assert.Assert(t, got == -1, "%s: flip of byte %d gave state %d of %d", name, i, got, len(states)-1)
			}
		}
	}
}

// Guards against a truncated active segment that yields a state which was
// never acknowledged, and against undetected truncation of a closed segment or
// a snapshot.
func TestEveryPrefix(t *testing.T) {
	dir, states := populatedDir(t)
	for _, name := range dataFiles(dir) {
		whole, err := os.ReadFile(name)
		assert.NilError(t, err)
		last := strings.HasSuffix(name, "log-0000000000000002")
		previous, unnoticed := -1, 0
		for n := range len(whole) {
			got := openWithFile(t, dir, name, whole[:n], states)
			if last {
				assert.Assert(t, got >= previous && got < len(states)-1, "%s: %d bytes gave state %d", name, n, got)
				previous = got
				continue
			}
			if got == len(states)-1 {
				// The last batch sets only the hard state, which the header of
				// the next segment contains too.
				unnoticed++
				continue
			}
			assert.Equal(t, got, -1, "%s: %d bytes", name, n)
		}
		assert.Equal(t, openWithFile(t, dir, name, append(whole, "more than nothing"...), states), -1, name)
		assert.Assert(t, unnoticed <= 1, "%s: %d truncations went unnoticed", name, unnoticed)
	}
}

// Guards against missing files that go undetected.
func TestMissingFile(t *testing.T) {
	dir, _ := populatedDir(t)
	for _, name := range dataFiles(dir) {
		b, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(name))
		_, _, err = agatestore.Open(agatestore.Config{Dir: dir})
		assert.ErrorIs(t, err, agatestore.ErrCorrupt, name)
		assert.NilError(t, os.WriteFile(name, b, 0o600))
	}
}

// Guards against treating zeros before the last record as an incomplete write,
// which would discard acknowledged records.
func TestZerosBeforeTail(t *testing.T) {
	dir, states := populatedDir(t)
	name := dataFiles(dir)[1] // the active segment
	whole, err := os.ReadFile(name)
	assert.NilError(t, err)
	// The last record takes less than 1,600 bytes and may be torn.
	for off := 0; off+16 < len(whole)-1600; off += 16 {
		for _, n := range []int{16, 512 - off%512} {
			bad := bytes.Clone(whole)
			clear(bad[off : off+n])
			assert.Equal(t, openWithFile(t, dir, name, bad, states), -1, "%d zeros at %d", n, off)
		}
	}
}

// Guards against truncating an incomplete write at the end of the log without
// a log line, and against taking copies of records inside its data for records.
func TestTornTailIsLogged(t *testing.T) {
	dir, states := populatedDir(t)
	name := dataFiles(dir)[1] // the active segment
	whole, err := os.ReadFile(name)
	assert.NilError(t, err)
	s, _, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	assert.NilError(t, s.Append(agatestore.Batch{Entries: []agatequorum.Entry{entry(7, 2, whole)}}))
	assert.NilError(t, s.Close())
	torn, err := os.ReadFile(name)
	assert.NilError(t, err)
	var out bytes.Buffer
	clear(torn[len(whole) : len(whole)+16])
	assert.NilError(t, os.WriteFile(name, torn, 0o600))
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir, Logger: hclog.New(&hclog.LoggerOptions{Output: &out})})
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.Equal(t, stateOf(saved).String(), states[len(states)-1].String())
	assert.Assert(t, strings.Contains(out.String(), "truncated an incomplete write at the end of the log"), out.String())
	again, err := os.ReadFile(name)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(whole, again))
}

// Guards against accepting files of another data directory, and against
// left-over files that prevent Open or are never deleted.
func TestOtherFiles(t *testing.T) {
	dir, states := populatedDir(t)
	other, _ := populatedDir(t)
	for i, name := range dataFiles(dir) {
		b, err := os.ReadFile(dataFiles(other)[i])
		assert.NilError(t, err)
		assert.Equal(t, openWithFile(t, dir, name, b, states), -1, name)
	}
	first, err := os.ReadFile(dataFiles(dir)[0])
	assert.NilError(t, err)
	s, _, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	assert.NilError(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 5, Term: 2}))
	more := agatestore.Batch{Entries: []agatequorum.Entry{entry(7, 2, nil), entry(8, 2, nil)}}
	assert.NilError(t, s.Append(more))
	assert.NilError(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 7, Term: 2}))
	assert.NilError(t, s.Close())
	assert.Equal(t, len(dataFiles(dir)), 3, "%v", dataFiles(dir))
	for _, name := range []string{"log-0000000000000001", "log-0000000000000005.tmp", "snapshot-0000000000000003"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), first, 0o600))
	}
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.Equal(t, saved.Snapshot.Index, uint64(7))
	assert.Equal(t, len(saved.Entries), 1)
	assert.Equal(t, len(dataFiles(dir)), 3, "%v", dataFiles(dir))
}

// Guards against two processes using one data directory, and against an
// identity that changes on reopening or is the same in two directories.
func TestDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, first, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	_, _, err = agatestore.Open(agatestore.Config{Dir: dir})
	assert.ErrorIs(t, err, agatestore.ErrLocked)
	assert.NilError(t, s.Close())
	assert.ErrorIs(t, s.Append(agatestore.Batch{}), agatestore.ErrClosed)
	s, second, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, first.Identity, second.Identity)
	assert.Assert(t, first.Fresh && second.Fresh && first.Identity != 0)
	_, other, err := agatestore.Open(agatestore.Config{Dir: t.TempDir()})
	assert.NilError(t, err)
	assert.Assert(t, other.Identity != first.Identity)
}

// Guards against a full disk that disables the store or leaves a partial
// record, and against accepting entries that leave a gap in the log.
func TestFullDisk(t *testing.T) {
	d := newDisk(t.TempDir(), func(n int) int { return n - 1 })
	s, _, err := agatestore.Open(agatestore.Config{Dir: d.dir, FileOps: d.fileOps()})
	assert.NilError(t, err)
	defer s.Close()
	one := agatestore.Batch{Entries: []agatequorum.Entry{entry(1, 1, []byte("one"))}}
	sn := agatequorum.Snapshot{Index: 1, Term: 1, Data: []byte("s")}
	for _, write := range []func() error{func() error { return s.Append(one) }, func() error { return s.SaveSnapshot(sn) }} {
		d.failNext = "full"
		assert.ErrorIs(t, write(), agatestore.ErrNoSpace)
		assert.NilError(t, write())
	}
	gap := agatestore.Batch{Entries: []agatequorum.Entry{entry(3, 1, nil)}}
	assert.ErrorContains(t, s.Append(gap), "entry 3 does not follow")
}

// Guards against a store that accepts no write any more after a sync, a rollback
// or a rename has failed, against a write behind the bytes of a failed one, and
// against an append while a snapshot is saved in part.
func TestRecoveryFromFailedWrites(t *testing.T) {
	d := newDisk(t.TempDir(), func(n int) int { return n - 1 })
	s, _, err := agatestore.Open(agatestore.Config{Dir: d.dir, FileOps: d.fileOps()})
	assert.NilError(t, err)
	one := agatestore.Batch{Entries: []agatequorum.Entry{entry(1, 1, []byte("one"))}}
	two := agatestore.Batch{Entries: []agatequorum.Entry{entry(2, 1, []byte("two"))}}
	for _, failing := range [][]string{{"sync"}, {"write", "truncate", "truncate"}, {"sync", "truncate", "truncate"}} {
		d.failNext = failing[0]
		d.failLater = failing[1:]
		for range max(1, len(failing)-1) {
			assert.ErrorIs(t, s.Append(one), errInjected, "%v", failing)
		}
		assert.NilError(t, s.Append(one), "%v", failing)
	}
	sn := agatequorum.Snapshot{Index: 1, Term: 1, Data: []byte("s")}
	d.failNext = "sync-dir"
	assert.ErrorIs(t, s.SaveSnapshot(sn), errInjected)
	assert.ErrorIs(t, s.Append(two), agatestore.ErrUnfinished)
	assert.ErrorIs(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 2, Term: 1}), agatestore.ErrUnfinished)
	d.failNext = "full"
	assert.ErrorIs(t, s.SaveSnapshot(sn), agatestore.ErrNoSpace)
	assert.ErrorIs(t, s.Append(two), agatestore.ErrUnfinished)
	assert.NilError(t, s.SaveSnapshot(sn))
	assert.NilError(t, s.Append(two))
	assert.NilError(t, s.Close())
	d.crash()
	s, saved, err := agatestore.Open(agatestore.Config{Dir: d.dir})
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, saved.Snapshot.Index, uint64(1))
	assert.DeepEqual(t, saved.Entries, two.Entries)
}

// BenchmarkOpen measures recovery time by log length.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := agatestore.Open(agatestore.Config{Dir: dir, FileOps: noSync})
			assert.NilError(b, err)
			for i := uint64(1); i <= n; i++ {
				assert.NilError(b, s.Append(agatestore.Batch{Entries: []agatequorum.Entry{entry(i, 1, make([]byte, 300))}}))
			}
			assert.NilError(b, s.Close())
			for b.Loop() {
				s, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
				assert.NilError(b, errors.Join(err, s.Close()))
				assert.Equal(b, len(saved.Entries), int(n))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "µs/entry")
		})
	}
}

// BenchmarkAppend measures one durable batch with one entry.
func BenchmarkAppend(b *testing.B) {
	s, _, err := agatestore.Open(agatestore.Config{Dir: b.TempDir()})
	assert.NilError(b, err)
	defer s.Close()
	for i := uint64(1); b.Loop(); i++ {
		assert.NilError(b, s.Append(agatestore.Batch{Entries: []agatequorum.Entry{entry(i, 1, make([]byte, 300))}}))
	}
}

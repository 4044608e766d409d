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

// unsynced makes tests fast that do not lose power.
var unsynced = agatestore.Files{
	Sync:    func(*os.File) error { return nil },
	SyncDir: func(string) error { return nil },
}

// filled returns a directory with a sealed segment, a snapshot and a last
// segment, and the states that were acknowledged one after the other.
func filled(t testing.TB) (dir string, states []state) {
	dir = t.TempDir()
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	now := found(saved)
	states = append(states, now)
	put := func(b agatestore.Batch) {
		assert.NilError(t, s.Append(b))
		now = now.append(b)
		states = append(states, now)
	}
	hard := agatequorum.HardState{Term: 1, Vote: 2}
	put(agatestore.Batch{Hard: hard})
	put(agatestore.Batch{Hard: hard, Entries: []agatequorum.Entry{entry(1, 1, []byte("one")), entry(2, 1, make([]byte, 700))}})
	hard.Commit = 2
	put(agatestore.Batch{Hard: hard, Entries: []agatequorum.Entry{entry(3, 1, []byte("three")), entry(4, 1, nil)}})
	hard.Vote = 3
	put(agatestore.Batch{Hard: hard})
	sn := agatequorum.Snapshot{Index: 2, Term: 1, Members: agatequorum.Members{{ID: 7}}, Data: []byte("state")}
	assert.NilError(t, s.SaveSnapshot(sn))
	now = now.save(sn)
	states = append(states, now)
	hard.Term = 2
	put(agatestore.Batch{Hard: hard, Entries: []agatequorum.Entry{entry(4, 2, []byte("other four"))}})
	put(agatestore.Batch{Hard: hard, Entries: []agatequorum.Entry{entry(5, 2, bytes.Repeat([]byte{7}, 1100))}})
	// The last write holds sectors of zeros, as a crash may leave them.
	put(agatestore.Batch{Hard: hard, Entries: []agatequorum.Entry{entry(6, 2, make([]byte, 1500))}})
	assert.NilError(t, s.Close())
	return dir, states
}

// reopen opens a directory with one file replaced, restores the file, and
// returns the number of the state that was found, or -1 for an error that
// names the file.
func reopen(t testing.TB, dir, name string, b []byte, states []state) int {
	files := map[string][]byte{}
	for _, n := range names(dir) {
		files[n], _ = os.ReadFile(n)
	}
	assert.NilError(t, os.WriteFile(name, b, 0o600))
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir, Files: unsynced})
	if err == nil {
		assert.NilError(t, s.Close())
	}
	for _, n := range names(dir) {
		if files[n] == nil {
			os.Remove(n)
		}
	}
	for n, b := range files {
		os.WriteFile(n, b, 0o600)
	}
	if err != nil {
		assert.ErrorIs(t, err, agatestore.ErrDamaged)
		assert.ErrorContains(t, err, "offset")
		return -1
	}
	for i, s := range states {
		if s.String() == found(saved).String() {
			return i
		}
	}
	t.Fatalf("%s: state that never was: %v", name, found(saved))
	return 0
}

// Guards against a changed byte that loses or changes acknowledged state,
// also in the last write of the log.
func TestEveryFlippedByte(t *testing.T) {
	dir, states := filled(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range names(dir) {
		whole, err := os.ReadFile(name)
		assert.NilError(t, err)
		for i := range whole {
			for _, mask := range []byte{1 << random.IntN(8), byte(1 + random.IntN(255)), whole[i]} {
				if mask == 0 {
					continue
				}
				bad := bytes.Clone(whole)
				bad[i] ^= mask
				got := reopen(t, dir, name, bad, states)
				assert.Assert(t, got == -1, "%s: flip of byte %d gave state %d of %d", name, i, got, len(states)-1)
			}
		}
	}
}

// Guards against a cut file that gives a state which never was, and against
// a cut sealed segment or snapshot that goes unnoticed.
func TestEveryPrefix(t *testing.T) {
	dir, states := filled(t)
	for _, name := range names(dir) {
		whole, err := os.ReadFile(name)
		assert.NilError(t, err)
		last := strings.HasSuffix(name, "log-0000000000000002")
		previous, same := -1, 0
		for n := range len(whole) {
			got := reopen(t, dir, name, whole[:n], states)
			if last {
				assert.Assert(t, got >= previous && got < len(states)-1, "%s: %d bytes gave state %d", name, n, got)
				previous = got
				continue
			}
			if got == len(states)-1 {
				same++ // the next segment repeats the last record of this one
				continue
			}
			assert.Equal(t, got, -1, "%s: %d bytes", name, n)
		}
		assert.Equal(t, reopen(t, dir, name, append(whole, "more than nothing"...), states), -1, name)
		assert.Assert(t, same <= 1, "%s: %d cuts went unnoticed", name, same)
	}
}

// Guards against lost files that go unnoticed.
func TestMissingFile(t *testing.T) {
	dir, _ := filled(t)
	for _, name := range names(dir) {
		b, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(name))
		_, _, err = agatestore.Open(agatestore.Config{Dir: dir})
		assert.ErrorIs(t, err, agatestore.ErrDamaged, name)
		assert.NilError(t, os.WriteFile(name, b, 0o600))
	}
}

// Guards against zeros before the tail being taken for an unfinished write.
func TestZerosBeforeTail(t *testing.T) {
	dir, states := filled(t)
	name := names(dir)[1]
	whole, err := os.ReadFile(name)
	assert.NilError(t, err)
	for off := 0; off+16 < len(whole)-1600; off += 16 {
		for _, n := range []int{16, 512 - off%512} {
			bad := bytes.Clone(whole)
			clear(bad[off : off+n])
			assert.Equal(t, reopen(t, dir, name, bad, states), -1, "%d zeros at %d", n, off)
		}
	}
}

// Guards against a torn tail that is cut without a log line, also when it
// contains images of records.
func TestTornTailIsLogged(t *testing.T) {
	dir, states := filled(t)
	name := names(dir)[1]
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
	assert.Equal(t, found(saved).String(), states[len(states)-1].String())
	assert.Assert(t, strings.Contains(out.String(), "cut off an unfinished write"), out.String())
	again, err := os.ReadFile(name)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(whole, again))
}

// Guards against files of another directory being mixed in, and against
// left-over files that keep a directory from opening or stay for good.
func TestOtherFiles(t *testing.T) {
	dir, states := filled(t)
	other, _ := filled(t)
	for i, name := range names(dir) {
		b, err := os.ReadFile(names(other)[i])
		assert.NilError(t, err)
		assert.Equal(t, reopen(t, dir, name, b, states), -1, name)
	}
	first, err := os.ReadFile(names(dir)[0])
	assert.NilError(t, err)
	s, _, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	assert.NilError(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 5, Term: 2}))
	more := agatestore.Batch{Entries: []agatequorum.Entry{entry(7, 2, nil), entry(8, 2, nil)}}
	assert.NilError(t, s.Append(more))
	assert.NilError(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 7, Term: 2}))
	assert.NilError(t, s.Close())
	assert.Equal(t, len(names(dir)), 3, "%v", names(dir))
	for _, name := range []string{"log-0000000000000001", "log-0000000000000005.tmp", "snapshot-0000000000000003"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), first, 0o600))
	}
	s, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.Equal(t, saved.Snapshot.Index, uint64(7))
	assert.Equal(t, len(saved.Entries), 1)
	assert.Equal(t, len(names(dir)), 3, "%v", names(dir))
}

// Guards against two processes in one directory.
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

// Guards against a full disk that stops the store or leaves half a record,
// and against writes after a failed fsync.
func TestFullDiskAndFailedSync(t *testing.T) {
	d := newDisk(t.TempDir(), func(n int) int { return n - 1 })
	s, _, err := agatestore.Open(agatestore.Config{Dir: d.dir, Files: d.seams()})
	assert.NilError(t, err)
	one := agatestore.Batch{Entries: []agatequorum.Entry{entry(1, 1, []byte("one"))}}
	sn := agatequorum.Snapshot{Index: 1, Term: 1, Data: []byte("s")}
	for _, write := range []func() error{func() error { return s.Append(one) }, func() error { return s.SaveSnapshot(sn) }} {
		d.fail = "full"
		assert.ErrorIs(t, write(), agatestore.ErrNoSpace)
		assert.NilError(t, write())
	}
	gap := agatestore.Batch{Entries: []agatequorum.Entry{entry(3, 1, nil)}}
	assert.ErrorContains(t, s.Append(gap), "entry 3 does not follow")
	files := d.seams()
	files.Truncate = func(*os.File, int64) error { return errInjected }
	stuck := newDisk(t.TempDir(), d.draw)
	files.Write = stuck.write
	halt, _, err := agatestore.Open(agatestore.Config{Dir: stuck.dir, Files: files})
	assert.NilError(t, err)
	defer halt.Close()
	stuck.fail = "write"
	assert.ErrorIs(t, halt.Append(one), agatestore.ErrBroken)
	d.fail = "sync"
	two := agatestore.Batch{Entries: []agatequorum.Entry{entry(2, 1, nil)}}
	assert.ErrorIs(t, s.Append(two), errInjected)
	assert.ErrorIs(t, s.Append(two), agatestore.ErrBroken)
	assert.ErrorIs(t, s.SaveSnapshot(agatequorum.Snapshot{Index: 2, Term: 1}), agatestore.ErrBroken)
	assert.NilError(t, s.Close())
	s, saved, err := agatestore.Open(agatestore.Config{Dir: d.dir})
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, saved.Snapshot.Index, uint64(1))
}

// BenchmarkOpen measures recovery against the length of the log.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := agatestore.Open(agatestore.Config{Dir: dir, Files: unsynced})
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

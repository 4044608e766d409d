package agatereplica_test

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
	"agategate/io/agatestore"
)

// historyLogBytes is the setting LogBytes of testdata/history.txt.
const historyLogBytes = 64 << 10

// history is a row of testdata/history.txt.
type history struct {
	name                            string
	count, commandBytes, stateBytes int
}

// Guards against memory, disk space and a time of repair that grow with the number of
// changes: the log in memory, the files, and what a replacement or a replica that lags
// is sent depend on the size of the state and on LogBytes alone. Snapshots cost at most
// as many bytes as the log.
func TestHistoryIsBounded(t *testing.T) {
	data, err := os.ReadFile("testdata/history.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var h history
		_, err := fmt.Sscan(line, &h.name, &h.count, &h.commandBytes, &h.stateBytes)
		assert.NilError(t, err)
		t.Run(h.name, func(t *testing.T) { testHistory(t, h) })
	}
}

// lastCommand is a state machine whose state is the last command, in a certain size.
type lastCommand struct {
	number uint64
	size   int
}

func (l *lastCommand) snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(make([]byte, l.size-8), l.number), nil
}

func testHistory(t *testing.T, h history) {
	dir := t.TempDir()
	path := func(id uint64) string { return filepath.Join(dir, strconv.FormatUint(id, 10)) }
	run(t, 0, agatereplica.Config{LogBytes: historyLogBytes}, func(t *testing.T, g *group) {
		machines := map[uint64]*lastCommand{}
		g.openStore = func(id uint64, cfg *agatereplica.Config) {
			store, saved, err := agatestore.Open(agatestore.Config{Dir: path(id)})
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, store.Close()) })
			cfg.Saved = saved.PersistentState
			cfg.SaveSnapshot = store.SaveSnapshot
			cfg.Append = func(hard agatequorum.HardState, entries []agatequorum.Entry) error {
				return store.Append(agatestore.Batch{HardState: hard, Entries: entries})
			}
			m := &lastCommand{size: h.stateBytes}
			machines[id] = m
			cfg.Snapshot = m.snapshot
			cfg.Apply = func(_ uint64, data []byte) []byte {
				m.number = binary.BigEndian.Uint64(data[len(data)-8:])
				return nil
			}
			cfg.Restore = func(data []byte) error {
				m.number = binary.BigEndian.Uint64(data[len(data)-8:])
				return nil
			}
		}
		for id := uint64(1); id <= 3; id++ {
			g.cfg.Bootstrap = append(g.cfg.Bootstrap, agatequorum.Member{ID: id})
		}
		g.open(1, 2, 3)
		number := uint64(0)
		change := func(n int) {
			for range n {
				number++
				_, err := g.leader().Propose(within(10*time.Second), binary.BigEndian.AppendUint64(make([]byte, h.commandBytes-8), number))
				assert.NilError(t, err)
			}
		}
		follower := func() uint64 {
			id := uint64(1)
			for id == g.leader().Status().ID {
				id++
			}
			return id
		}

		// A snapshot is due when the log has grown by interval, at the latest.
		interval := max(historyLogBytes, h.stateBytes) + h.commandBytes + 32
		maxLog := 3 * interval
		maxCopy := h.stateBytes + maxLog
		maxFiles := int64(2*h.stateBytes + maxLog + maxLog/4)
		change(h.count)
		time.Sleep(time.Second)
		for id, r := range g.replicas {
			st := r.Status()
			assert.Assert(t, st.LogBytes <= maxLog, "replica %d: %d bytes of log, at most %d", id, st.LogBytes, maxLog)
			files := dirBytes(t, path(id))
			assert.Assert(t, files <= maxFiles, "replica %d: %d bytes of files, at most %d", id, files, maxFiles)
			written := int64(h.count) * int64(h.commandBytes+32)
			assert.Assert(t, st.SnapshotBytes <= written, "replica %d: %d bytes of snapshots, %d of log", id, st.SnapshotBytes, written)
		}

		paused := follower()
		g.isolate(paused, true)
		change(h.count / 2)
		before := g.sentTo(paused)
		g.isolate(paused, false)
		time.Sleep(2 * time.Second)
		got := g.sentTo(paused) - before
		synctest.Wait()
		assert.Equal(t, machines[paused].number, number)
		assert.Assert(t, got <= maxCopy, "a replica that lagged was sent %d bytes, at most %d", got, maxCopy)

		lost := follower()
		g.close(lost)
		l := g.leader()
		assert.NilError(t, l.AddLearner(within(time.Second), 4, g.cfg.Bootstrap[0].Address))
		g.open(4)
		assert.NilError(t, l.Remove(within(time.Second), lost))
		assert.NilError(t, l.Promote(within(10*time.Second), 4))
		synctest.Wait()
		assert.Equal(t, machines[4].number, number)
		got = g.sentTo(4)
		assert.Assert(t, got <= maxCopy, "a replacement was sent %d bytes, at most %d", got, maxCopy)
	})
}

// dirBytes returns the size of all files in a directory.
func dirBytes(t *testing.T, dir string) int64 {
	n := int64(0)
	err := filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		n += info.Size()
		return err
	})
	assert.NilError(t, err)
	return n
}

// Guards against messages of other replicas that fill the memory while the replica is
// slow to handle them.
func TestInboxBytes(t *testing.T) {
	run(t, 3, agatereplica.Config{LogBytes: historyLogBytes}, func(t *testing.T, g *group) {
		l := g.leader()
		id := l.Status().ID%3 + 1
		r := g.replicas[id]
		synctest.Wait()
		g.hold <- struct{}{} // the drivers wait for the clock
		time.Sleep(time.Millisecond)
		before := r.Status().Dropped
		entry := agatequorum.Entry{Term: 1, Index: 1, Data: make([]byte, historyLogBytes/4)}
		for range 8 {
			r.Deliver(l.Status().ID, agatequorum.Message{Kind: agatequorum.MessageAppend, From: l.Status().ID, To: id, Entries: []agatequorum.Entry{entry}})
		}
		<-g.hold
		time.Sleep(time.Second)
		assert.Equal(t, r.Status().Dropped-before, uint64(5))
		propose(t, g.leader(), 1)
	})
}

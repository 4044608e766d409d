package agatereplica_test

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
	"agategate/io/agatestore"
)

// fullDisk is a disk of which some operations fail for lack of space.
type fullDisk struct {
	mu      sync.Mutex
	failing []string // operations as in testdata/disks.txt
}

func (d *fullDisk) set(failing ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// check returns an error if the operation fails.
func (d *fullDisk) check(operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Contains(d.failing, operation) {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fullDisk) fileOps() agatestore.FileOps {
	return agatestore.FileOps{
		Write: func(f *os.File, b []byte, off int64) (int, error) {
			if err := d.check("write"); err != nil {
				n, _ := f.WriteAt(b[:len(b)/2], off) // what fits
				return n, err
			}
			return f.WriteAt(b, off)
		},
		Sync: func(*os.File) error { return d.check("sync") },
		Truncate: func(f *os.File, size int64) error {
			if err := d.check("truncate"); err != nil {
				return err
			}
			return f.Truncate(size)
		},
		Rename: func(from, to string) error {
			if err := d.check("rename"); err != nil {
				return err
			}
			if strings.HasPrefix(filepath.Base(to), "snapshot") {
				if err := d.check("rename-snapshot"); err != nil {
					return err
				}
			}
			return os.Rename(from, to)
		},
		Remove: func(name string) error {
			if err := d.check("remove"); err != nil {
				return err
			}
			return os.Remove(name)
		},
		SyncDir: func(string) error { return d.check("sync-dir") },
	}
}

// Guards against a group that accepts no changes any more after the disks of its replicas
// were full for a while, one after another, and against changes that are lost meanwhile.
// testdata/disks.txt lists what fails on a full disk.
func TestDisksFullInTurn(t *testing.T) {
	data, err := os.ReadFile("testdata/disks.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); f[0] != "#" {
			t.Run(f[0], func(t *testing.T) { testDisksFullInTurn(t, f[1:]) })
		}
	}
}

func testDisksFullInTurn(t *testing.T, operations []string) {
	const (
		fullTime = 3 * time.Second
		pause    = time.Second
	)
	dir := t.TempDir()
	run(t, 0, agatereplica.Config{SnapshotEvery: 8, CatchUpEntries: 4}, func(t *testing.T, g *group) {
		disks := map[uint64]*fullDisk{}
		stores := map[uint64]*agatestore.Store{}
		g.openStore = func(id uint64, cfg *agatereplica.Config) {
			disks[id] = &fullDisk{}
			store, saved, err := agatestore.Open(agatestore.Config{Dir: filepath.Join(dir, strconv.FormatUint(id, 10)), FileOps: disks[id].fileOps()})
			assert.NilError(t, err)
			stores[id] = store
			cfg.Saved = saved.PersistentState
			cfg.SaveSnapshot = store.SaveSnapshot
			cfg.Append = func(hard agatequorum.HardState, entries []agatequorum.Entry) error {
				return store.Append(agatestore.Batch{HardState: hard, Entries: entries})
			}
		}
		ids := []uint64{1, 2, 3}
		for _, id := range ids {
			g.cfg.Bootstrap = append(g.cfg.Bootstrap, agatequorum.Member{ID: id})
		}
		g.open(ids...)
		for _, id := range ids {
			disks[id].set(operations...)
			g.proposeFor(fullTime)
			disks[id].set()
			g.proposeFor(pause)
		}
		for range 2 * g.cfg.SnapshotEvery {
			propose(t, g.leader(), 1)
		}
		before := g.sum(ids...)
		for _, id := range ids {
			g.close(id)
			assert.NilError(t, stores[id].Close())
		}
		g.open(ids...)
		propose(t, g.leader(), 0)
		assert.Equal(t, g.sum(ids...), before)
		for _, id := range ids {
			g.close(id)
			assert.NilError(t, stores[id].Close())
		}
	})
}

// proposeFor proposes commands for a while, whatever becomes of them.
func (g *group) proposeFor(d time.Duration) {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		_, _ = g.leader().Propose(within(interval), number(1)) // the sums of all replicas are compared
	}
}

package agatereplica_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

// BenchmarkCommit measures acknowledged commands per second of a group of three
// whose stores write 512 bytes to a file and sync it. "single" has one command
// in flight at a time, so that there is no group commit and each command has
// its own fsync.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		name := fmt.Sprintf("group/callers=%d", callers)
		if callers == 1 {
			name = "single"
		}
		b.Run(name, func(b *testing.B) {
			g := newGroup(b, 3, agatereplica.Config{})
			dir := b.TempDir()
			for id := uint64(1); id <= 3; id++ {
				f, err := os.Create(filepath.Join(dir, fmt.Sprint(id)))
				assert.NilError(b, err)
				defer f.Close()
				g.stores[id] = &memStore{saved: agatequorum.PersistentState{Fresh: true}, file: f}
			}
			g.open(1, 2, 3)
			defer g.closeAll()
			l := g.leader()
			var begun atomic.Int64
			var all sync.WaitGroup
			b.ResetTimer()
			for range callers {
				all.Go(func() {
					for begun.Add(1) <= int64(b.N) {
						_, err := l.Propose(context.Background(), number(1))
						assert.Check(b, err)
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// BenchmarkRecover measures the time from Open until everything committed is
// applied. It does not include reading the files, which the store does.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []uint64{1000, 10000, 100000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", n, snapshot), func(b *testing.B) {
				saved := longLog(n, snapshot)
				for b.Loop() {
					g := newGroup(b, 3, agatereplica.Config{SnapshotEvery: 1 << 30})
					g.stores[1] = &memStore{saved: saved}
					g.open(1)
					for g.replicas[1].Status().Applied < n {
						time.Sleep(50 * time.Microsecond)
					}
					g.closeAll()
				}
			})
		}
	}
}

// longLog returns a committed log of n entries, with a snapshot at the last
// multiple of 4,096.
func longLog(n uint64, snapshot bool) agatequorum.PersistentState {
	saved := agatequorum.PersistentState{HardState: agatequorum.HardState{Term: 1, Commit: n}}
	if snapshot {
		saved.Snapshot = agatequorum.Snapshot{
			Index: n - n%agatereplica.DefaultSnapshotEvery, Term: 1,
			Members: agatequorum.Members{{ID: 1}, {ID: 2}, {ID: 3}}, Data: number(n),
		}
	}
	for i := saved.Snapshot.Index + 1; i <= n; i++ {
		saved.Entries = append(saved.Entries, agatequorum.Entry{Term: 1, Index: i, Kind: agatequorum.KindCommand, Data: number(1)})
	}
	return saved
}

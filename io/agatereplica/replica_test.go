package agatereplica_test

import (
	"context"
	"errors"
	"net/netip"
	"reflect"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	_ = cancel
	return ctx
}

func propose(t *testing.T, r *agatereplica.Replica, n uint64) {
	t.Helper()
	_, err := r.Propose(within(5*time.Second), number(n))
	assert.NilError(t, err)
}

// sum returns what the state machines have added up, once all are equal.
func (g *group) sum(ids ...uint64) uint64 {
	time.Sleep(time.Second)
	synctest.Wait()
	for _, id := range ids {
		assert.Equal(g.t, g.machines[id].sum, g.machines[ids[0]].sum, "replica %d", id)
	}
	return g.machines[ids[0]].sum
}

// A command must be applied everywhere, once, and its result must come back
// to its caller; others are told who leads.
func TestProposeAndRead(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		for i := uint64(1); i <= 3; i++ {
			got, err := l.Propose(within(time.Second), number(i))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, number(i*(i+1)/2))
		}
		assert.NilError(t, l.Read(within(time.Second)))
		assert.Equal(t, g.sum(1, 2, 3), uint64(6))
		follower := g.replicas[l.Status().ID%3+1]
		_, err := follower.Propose(within(time.Second), number(1))
		var other *agatereplica.NotLeaderError
		assert.Assert(t, errors.As(err, &other))
		assert.Equal(t, other.Leader, l.Status().ID)
		assert.Assert(t, errors.As(follower.Read(within(time.Second)), &other))
	})
}

// All commands that arrive during an fsync must share the next one.
func TestGroupCommit(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		st := g.stores[l.Status().ID]
		before := st.count()
		var all sync.WaitGroup
		for range 500 {
			all.Go(func() { propose(t, l, 1) })
		}
		all.Wait()
		assert.Assert(t, st.count()-before <= 3, "%d syncs", st.count()-before)
		assert.Equal(t, g.sum(1, 2, 3), uint64(501))
	})
}

// A full ring must refuse a command before it is proposed.
func TestRingFull(t *testing.T) {
	run(t, 3, agatereplica.Config{Asks: 4, MaxPending: 8}, func(t *testing.T, g *group) {
		l := g.leader()
		var mu sync.Mutex
		applied, refused := uint64(0), 0
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() {
				_, err := l.Propose(within(time.Second), number(1))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					applied++
					return
				}
				assert.ErrorIs(t, err, agatereplica.ErrFull)
				refused++
			})
		}
		all.Wait()
		assert.Assert(t, refused > 0 && applied > 0)
		assert.Equal(t, g.sum(1, 2, 3), applied)
	})
}

// A command whose caller gave up before the driver took it must not be
// proposed afterwards: the caller was told so.
func TestWithdrawn(t *testing.T) {
	run(t, 1, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		g.hold <- struct{}{}
		_, err := l.Propose(within(time.Second), number(10))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		unknown := errors.Is(err, agatereplica.ErrUnknown)
		_, err = l.Propose(within(time.Second), number(100))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !errors.Is(err, agatereplica.ErrUnknown), "%v", err)
		<-g.hold
		sum := g.sum(1)
		assert.Assert(t, sum == 1 || (unknown && sum == 11), "sum %d", sum)
	})
}

// A command of an isolated leader must end as unknown, not as applied or
// refused; a caller that waits must learn that it was replaced.
func TestIsolatedLeader(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		id := l.Status().ID
		g.isolate(id, true)
		replaced := make(chan error, 1)
		go func() {
			_, err := l.Propose(context.Background(), number(100))
			replaced <- err
		}()
		_, err := l.Propose(within(100*time.Millisecond), number(100))
		assert.ErrorIs(t, err, agatereplica.ErrUnknown)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		// No other leader can have been elected yet, so the lease holds.
		assert.NilError(t, l.Read(within(time.Second)))
		time.Sleep(300 * time.Millisecond)
		var other *agatereplica.NotLeaderError
		assert.Assert(t, errors.As(l.Read(within(10*time.Second)), &other))
		next := g.leader()
		propose(t, next, 2)
		propose(t, next, 2)
		g.isolate(id, false)
		err = <-replaced
		assert.Assert(t, errors.As(err, &other), "%v", err)
		assert.Equal(t, g.sum(1, 2, 3), uint64(5))
	})
}

// A full disk must refuse commands clearly, keep reads, acknowledge nothing,
// and end by itself.
func TestDiskFull(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		for _, st := range g.stores {
			st.fail(syscall.ENOSPC)
		}
		_, err := l.Propose(within(time.Second), number(10))
		assert.ErrorIs(t, err, agatereplica.ErrUnknown)
		assert.Assert(t, l.Status().Full)
		_, err = l.Propose(within(time.Second), number(100))
		assert.ErrorIs(t, err, agatereplica.ErrFull)
		assert.NilError(t, l.Read(within(time.Second)))
		assert.Equal(t, g.sum(1, 2, 3), uint64(1))
		for _, st := range g.stores {
			st.fail(nil)
		}
		time.Sleep(time.Second)
		propose(t, g.leader(), 1)
		assert.Equal(t, g.sum(1, 2, 3), uint64(12))
	})
}

// Nothing acknowledged may be lost over restarts and compactions, and a
// replica that lags behind the log must get the snapshot.
func TestRestart(t *testing.T) {
	run(t, 3, agatereplica.Config{SnapshotEvery: 16, Keep: 4}, func(t *testing.T, g *group) {
		for i := range uint64(100) {
			propose(t, g.leader(), 1)
			switch i {
			case 20:
				g.close(1)
			case 70:
				g.open(1)
			case 90:
				g.close(1, 2, 3)
				g.open(1, 2, 3)
			}
		}
		assert.Equal(t, g.sum(1, 2, 3), uint64(100))
		assert.Assert(t, g.stores[1].saved.Snapshot.Index > 80)
	})
}

// A replica that lost its disk returns as a learner under a new identity and
// has a vote only after its promotion.
func TestReplaceReplica(t *testing.T) {
	run(t, 3, agatereplica.Config{SnapshotEvery: 16, Keep: 4}, func(t *testing.T, g *group) {
		for range 50 {
			propose(t, g.leader(), 1)
		}
		lost := g.leader().Status().ID
		g.close(lost)
		l := g.leader()
		ctx := within(10 * time.Second)
		assert.NilError(t, l.AddLearner(ctx, 4, g.cfg.Bootstrap[0].Address))
		assert.ErrorIs(t, l.Promote(within(time.Second), 4), agatereplica.ErrBehind)
		g.open(4)
		assert.ErrorIs(t, l.Promote(within(time.Second), 4), agatereplica.ErrUnsafe)
		assert.NilError(t, l.Remove(ctx, lost))
		assert.NilError(t, l.Promote(ctx, 4))
		assert.ErrorIs(t, l.Promote(ctx, 4), agatereplica.ErrMember)
		g.close(l.Status().ID)
		propose(t, g.leader(), 1)
		assert.Equal(t, g.sum(4), uint64(51))
	})
}

// A planned stop hands the lead over: commands under way end well, and the
// group has a new leader before an election timeout passes.
func TestStop(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() { propose(t, l, 1) })
		}
		synctest.Wait()
		begin := time.Now()
		assert.NilError(t, l.Stop(within(time.Second)))
		g.forget(l.Status().ID)
		all.Wait()
		propose(t, g.leader(), 1)
		assert.Assert(t, time.Since(begin) < 200*time.Millisecond, "took %v", time.Since(begin))
		_, err := l.Propose(within(time.Second), number(1))
		assert.ErrorIs(t, err, agatereplica.ErrStopped)
		for id := range g.replicas {
			assert.Equal(t, g.sum(id), uint64(22))
		}
	})
}

// A state that cannot be restored must stop the replica with the reason.
func TestRestoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := agatereplica.Config{
			ID:           1,
			Saved:        agatequorum.PersistentState{Snapshot: agatequorum.Snapshot{Index: 5, Term: 1, Members: agatequorum.Members{{ID: 1}}}},
			Send:         func(uint64, agatequorum.Message) {},
			Apply:        func(uint64, []byte) []byte { return nil },
			Snapshot:     func() ([]byte, error) { return nil, nil },
			Restore:      func([]byte) error { return errors.New("bad state") },
			Append:       func(agatequorum.HardState, []agatequorum.Entry) error { return nil },
			SaveSnapshot: func(agatequorum.Snapshot) error { return nil },
		}
		r, err := agatereplica.Open(cfg)
		assert.NilError(t, err)
		<-r.Done()
		assert.Error(t, r.Fault(), "agatereplica: restore snapshot 5: bad state")
		cfg.Restore = nil
		_, err = agatereplica.Open(cfg)
		assert.ErrorContains(t, err, "lacks a required function")
	})
}

// Every field must survive the wire, and bytes that are no message must give
// an error.
func TestWire(t *testing.T) {
	address := netip.MustParseAddrPort("[2001:db8::1]:7000")
	m := agatequorum.Message{
		Kind: agatequorum.MessageInstallSnapshot, From: 1, To: 2, Term: 3, Address: address, Index: 4, LogTerm: 5,
		Entries: []agatequorum.Entry{{Term: 6, Index: 7, Kind: agatequorum.KindCommand, Data: []byte("data")}},
		Commit:  8, Reject: true, Hint: 9, HintTerm: 10, SentAt: 11, ReadRound: 12, Transfer: true, WriteFailed: true, MembersIndex: 13,
		Snapshot: agatequorum.Snapshot{
			Index: 14, Term: 15, Data: []byte("state"),
			Members: agatequorum.Members{{ID: 16, Address: address, Learner: true}},
		},
		Offset: 17, Total: 18,
	}
	for _, f := range reflect.VisibleFields(reflect.TypeOf(m)) {
		assert.Assert(t, !reflect.ValueOf(m).FieldByIndex(f.Index).IsZero(), "field %s is not tested", f.Name)
	}
	data, err := agatereplica.EncodeMessage(m)
	assert.NilError(t, err)
	got, err := agatereplica.DecodeMessage(data)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, m), "got %+v", got)
	for cut := range data {
		_, err := agatereplica.DecodeMessage(data[:cut])
		assert.ErrorContains(t, err, "agatereplica: decode message")
	}
}

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

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	_ = cancel // the context ends by its timeout
	return ctx
}

func propose(t *testing.T, r *agatereplica.Replica, n uint64) {
	t.Helper()
	_, err := r.Propose(within(5*time.Second), number(n))
	assert.NilError(t, err)
}

// sum waits a second, checks that the sums of the state machines are equal, and
// returns the sum.
func (g *group) sum(ids ...uint64) uint64 {
	time.Sleep(time.Second)
	synctest.Wait()
	for _, id := range ids {
		assert.Equal(g.t, g.machines[id].sum, g.machines[ids[0]].sum, "replica %d", id)
	}
	return g.machines[ids[0]].sum
}

// Guards against commands that are lost or applied twice, results that do not
// reach their caller, and followers that do not name the leader.
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
		var notLeader *agatereplica.NotLeaderError
		assert.Assert(t, errors.As(err, &notLeader))
		assert.Equal(t, notLeader.Leader, l.Status().ID)
		assert.Assert(t, errors.As(follower.Read(within(time.Second)), &notLeader))
	})
}

// Guards against a separate fsync for each command: all commands that arrive
// during one fsync must share the next.
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

// Guards against a command that is refused because a queue is full but is
// proposed all the same.
func TestQueueFull(t *testing.T) {
	run(t, 3, agatereplica.Config{RequestQueue: 4, MaxPending: 8}, func(t *testing.T, g *group) {
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
				assert.ErrorIs(t, err, agatereplica.ErrRefused)
				refused++
			})
		}
		all.Wait()
		assert.Assert(t, refused > 0 && applied > 0)
		assert.Equal(t, g.sum(1, 2, 3), applied)
	})
}

// Guards against a command that is proposed after its caller gave up: a caller
// that stops waiting before the driver takes the command gets an error that
// rules this out.
func TestProposeTimeout(t *testing.T) {
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

// Guards against commands of an isolated leader that are reported as applied or
// refused instead of unknown, and against a waiting caller that is not told that
// its command was replaced.
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
		var notLeader *agatereplica.NotLeaderError
		assert.Assert(t, errors.As(l.Read(within(10*time.Second)), &notLeader))
		next := g.leader()
		propose(t, next, 2)
		propose(t, next, 2)
		g.isolate(id, false)
		err = <-replaced
		assert.Assert(t, errors.As(err, &notLeader), "%v", err)
		assert.Equal(t, g.sum(1, 2, 3), uint64(5))
	})
}

// Guards against commands that are acknowledged or reads that fail while the
// disk is full, and against a replica that does not recover once there is space.
func TestDiskFull(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		propose(t, l, 1)
		for _, st := range g.stores {
			st.setError(syscall.ENOSPC)
		}
		_, err := l.Propose(within(time.Second), number(10))
		assert.ErrorIs(t, err, agatereplica.ErrUnknown)
		assert.Assert(t, l.Status().WriteFailed)
		_, err = l.Propose(within(time.Second), number(100))
		assert.ErrorIs(t, err, agatereplica.ErrRefused)
		assert.NilError(t, l.Read(within(time.Second)))
		assert.Equal(t, g.sum(1, 2, 3), uint64(1))
		for _, st := range g.stores {
			st.setError(nil)
		}
		time.Sleep(time.Second)
		propose(t, g.leader(), 1)
		assert.Equal(t, g.sum(1, 2, 3), uint64(12))
	})
}

// Guards against the loss of acknowledged commands by restarts and compactions,
// and against a replica that lags behind the log and is not sent the snapshot.
func TestRestart(t *testing.T) {
	run(t, 3, agatereplica.Config{SnapshotEvery: 16, CatchUpEntries: 4}, func(t *testing.T, g *group) {
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

// Guards against a replica that lost its disk and votes before it has caught up:
// it returns as a learner with a new identity and votes only once promoted.
func TestReplaceReplica(t *testing.T) {
	run(t, 3, agatereplica.Config{SnapshotEvery: 16, CatchUpEntries: 4}, func(t *testing.T, g *group) {
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
		assert.ErrorIs(t, l.Promote(ctx, 4), agatereplica.ErrInvalidChange)
		g.close(l.Status().ID)
		propose(t, g.leader(), 1)
		assert.Equal(t, g.sum(4), uint64(51))
	})
}

// Guards against a planned stop that fails commands in progress or leaves the
// group without a leader for an election timeout.
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

// Guards against a replica that keeps running after its state could not be
// restored, or that does not report why it stopped.
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

// Guards against message fields that are lost in encoding, and against truncated
// messages that are accepted.
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

// Guards against a group that shrinks below its target: a leader decides to remove the
// sixth voter, and an operator's removal of another one is committed first.
func TestRepairDecidedOnOtherMembers(t *testing.T) {
	run(t, 6, agatereplica.Config{}, func(t *testing.T, g *group) {
		l := g.leader()
		view := agateheal.View{Now: time.Now(), Self: l.Status().ID, Term: l.Status().Term, Leader: l.Status().ID, Members: l.Status().Members}
		healer := agateheal.New(agateheal.Config{Voters: 5})
		noOther := func(netip.AddrPort) (uint64, bool) { return 0, false }
		assert.Equal(t, len(healer.Steps(view, noOther)), 0)
		view.Now = view.Now.Add(time.Minute) // no voter was heard since
		steps := healer.Steps(view, noOther)
		assert.Equal(t, len(steps), 1)
		other := uint64(1)
		for other == view.Self || other == steps[0].Change.ID {
			other++
		}
		assert.NilError(t, l.Remove(within(time.Second), other))
		assert.ErrorIs(t, l.Change(within(time.Second), steps[0].Change), agatereplica.ErrInvalidChange)
		assert.Equal(t, l.Status().Members.VoterCount(), 5)
	})
}

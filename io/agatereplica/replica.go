package agatereplica

import (
	"context"
	"sync"
	"sync/atomic"

	"agategate/core/agatequorum"
	"agategate/core/agatering"
)

// Replica is one running replica. Its methods are safe for concurrent use.
type Replica struct {
	cfg Config

	requests *agatering.Queue[*request]
	inbox    *agatering.Queue[agatequorum.Message]
	writes   *agatering.Queue[*agatequorum.Write]
	written  *agatering.Queue[agatequorum.WriteResult]
	batches  *agatering.Queue[batch]
	reports  *agatering.Queue[report]
	// inboxBytes and unapplied are the sizes of the entries in the inbox, and of
	// those that are committed and not applied yet.
	inboxBytes atomic.Int64
	unapplied  atomic.Int64
	// dropped counts the messages dropped because of their size.
	dropped atomic.Uint64
	// snapshots and snapshotBytes count the snapshots taken.
	snapshots     atomic.Int64
	snapshotBytes atomic.Int64

	status   atomic.Pointer[Status]
	stop     chan struct{}
	stopOnce sync.Once
	tasks    sync.WaitGroup
	// stopped is closed after the last task has ended.
	stopped chan struct{}
	fault   atomic.Pointer[error]
}

// Status is a replica's view of the group.
type Status struct {
	ID      uint64
	Role    agatequorum.Role
	Leader  uint64
	Term    uint64
	Commit  uint64
	Applied uint64
	Members agatequorum.Members
	// WriteFailed is set while writes to the store fail. Until one succeeds the
	// replica accepts no commands but still answers reads.
	WriteFailed bool
	// Dropped counts the messages that were dropped because the inbox was full.
	Dropped uint64
	// LogBytes is the size of the log that is held in memory.
	LogBytes int
	// Snapshots counts the snapshots that were taken, and SnapshotBytes their bytes.
	Snapshots     int64
	SnapshotBytes int64
	// Learners tells how far the learners have caught up. Only a leader knows it.
	Learners []agatequorum.Progress
}

// Open starts a replica that continues from cfg.Saved. Stop or Close stops it.
func Open(cfg Config) (*Replica, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:      cfg,
		requests: agatering.New[*request](agatering.Config{Capacity: cfg.RequestQueue}),
		inbox:    agatering.New[agatequorum.Message](agatering.Config{Capacity: cfg.Inbox}),
		writes:   agatering.New[*agatequorum.Write](agatering.Config{Capacity: 1}),
		written:  agatering.New[agatequorum.WriteResult](agatering.Config{Capacity: 2}),
		batches:  agatering.New[batch](agatering.Config{Capacity: 1}),
		reports:  agatering.New[report](agatering.Config{Capacity: 1}),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	r.status.Store(&Status{ID: cfg.ID})
	d := newDriver(r)
	d.publish()
	r.tasks.Go(d.run)
	r.tasks.Go((&storeWriter{r: r, hard: cfg.Saved.HardState}).run)
	r.tasks.Go(newApplier(r).run)
	go r.waitTasks()
	return r, nil
}

// waitTasks closes stopped once all tasks have ended.
func (r *Replica) waitTasks() {
	r.tasks.Wait()
	close(r.stopped)
}

// Status returns the replica's latest view of the group. The members must not
// be changed.
func (r *Replica) Status() Status { return *r.status.Load() }

// Deliver passes on a message from another replica. It ignores a message that
// names another sender than from. It does not block: a message is dropped if
// the inbox is full, in messages or in bytes, which the protocol tolerates.
func (r *Replica) Deliver(from uint64, m agatequorum.Message) {
	if m.From != from {
		return
	}
	size := messageBytes(&m)
	held := r.inboxBytes.Load()
	tooMuch := held > 0 && held+size > int64(r.cfg.LogBytes)
	if size > 0 && (tooMuch || r.unapplied.Load() > unappliedFactor*int64(r.cfg.LogBytes)) {
		r.dropped.Add(1)
		return
	}
	r.inboxBytes.Add(size)
	if !r.inbox.Offer(m) {
		r.inboxBytes.Add(-size)
	}
}

// messageBytes returns the size of the entries and of the part of a snapshot that a
// message carries.
func messageBytes(m *agatequorum.Message) int64 {
	return int64(agatequorum.EntryBytes(m.Entries...) + len(m.Snapshot.Data))
}

// Stop closes the replica after it has transferred the leadership, if it is the
// leader, and answered the commands in progress. New commands get a
// NotLeaderError meanwhile. If ctx ends first, Stop closes the replica at once.
func (r *Replica) Stop(ctx context.Context) error {
	req := newRequest(requestTransfer)
	if r.requests.Offer(req) {
		select {
		case <-req.response:
		case <-ctx.Done():
		case <-r.stopped:
		}
	}
	return r.Close()
}

// Close ends all tasks at once and returns the error that stopped the replica
// earlier, if any. Commands in progress fail with ErrUnknown.
func (r *Replica) Close() error {
	r.signalStop()
	<-r.stopped
	return r.Fault()
}

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Fault returns the error that stopped the replica, or nil.
func (r *Replica) Fault() error {
	if err := r.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (r *Replica) signalStop() { r.stopOnce.Do(func() { close(r.stop) }) }

func (r *Replica) fail(err error) {
	r.cfg.Logger.Error("replica failed and stops", "error", err)
	r.fault.CompareAndSwap(nil, &err)
	r.signalStop()
}

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

	asks    *agatering.Queue[*ask]
	inbox   *agatering.Queue[agatequorum.Message]
	writes  *agatering.Queue[*agatequorum.Write]
	written *agatering.Queue[agatequorum.WriteResult]
	batches *agatering.Queue[batch]
	reports *agatering.Queue[report]

	status atomic.Pointer[Status]
	stop   chan struct{}
	once   sync.Once
	duties sync.WaitGroup
	// stopped is closed after the last duty ended.
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
	// Full says that the last write failed: the replica accepts no commands
	// and still answers reads.
	Full bool
	// Dropped counts the messages of replicas that found the inbox full.
	Dropped uint64
}

// Open starts a replica that continues from cfg.Saved. It is stopped with
// Stop or Close.
func Open(cfg Config) (*Replica, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:     cfg,
		asks:    agatering.New[*ask](agatering.Config{Capacity: cfg.Asks}),
		inbox:   agatering.New[agatequorum.Message](agatering.Config{Capacity: cfg.Inbox}),
		writes:  agatering.New[*agatequorum.Write](agatering.Config{Capacity: 1}),
		written: agatering.New[agatequorum.WriteResult](agatering.Config{Capacity: 2}),
		batches: agatering.New[batch](agatering.Config{Capacity: 1}),
		reports: agatering.New[report](agatering.Config{Capacity: 1}),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	r.status.Store(&Status{ID: cfg.ID})
	d := newDriver(r)
	d.publish()
	r.duties.Go(d.run)
	r.duties.Go((&disk{r: r, hard: cfg.Saved.HardState}).run)
	r.duties.Go((&machine{r: r}).run)
	go r.await()
	return r, nil
}

// await tells the callers once all duties have ended.
func (r *Replica) await() {
	r.duties.Wait()
	close(r.stopped)
}

// Status returns the latest view. The members must not be changed.
func (r *Replica) Status() Status { return *r.status.Load() }

// Deliver hands over a message that another replica sent. It does not block;
// a message that finds the inbox full is dropped, which replicas tolerate.
func (r *Replica) Deliver(from uint64, m agatequorum.Message) {
	if m.From != from {
		return
	}
	r.inbox.Offer(m)
}

// Stop closes the replica after it has handed the lead over, if it leads, and
// answered the commands under way. New commands get a NotLeaderError
// meanwhile. When ctx ends first, Stop closes the replica at once.
func (r *Replica) Stop(ctx context.Context) error {
	a := newAsk(askYield)
	if r.asks.Offer(a) {
		select {
		case <-a.answer:
		case <-ctx.Done():
		case <-r.stopped:
		}
	}
	return r.Close()
}

// Close ends all duties at once and returns the fault that stopped the
// replica, if there was one. Commands under way end with ErrUnknown.
func (r *Replica) Close() error {
	r.halt()
	<-r.stopped
	return r.Fault()
}

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Fault returns why the replica stopped by itself, or nil.
func (r *Replica) Fault() error {
	if err := r.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (r *Replica) halt() { r.once.Do(func() { close(r.stop) }) }

func (r *Replica) failed(err error) {
	r.cfg.Logger.Error("replica stops", "error", err)
	r.fault.CompareAndSwap(nil, &err)
	r.halt()
}

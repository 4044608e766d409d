package agatereplica

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"agategate/core/agatequorum"
)

type askKind uint8

const (
	askPropose askKind = iota
	askRead
	askChange
	askYield
)

// States of an ask. It is either taken by the driver or withdrawn by its
// caller, never both.
const (
	askWaits int32 = iota
	askTaken
	askWithdrawn
)

// ask is a request of a caller to the driver.
type ask struct {
	kind   askKind
	data   []byte
	change agatequorum.Change
	state  atomic.Int32
	// answer has room for the one answer.
	answer chan answer
}

type answer struct {
	value []byte
	err   error
}

func newAsk(kind askKind) *ask { return &ask{kind: kind, answer: make(chan answer, 1)} }

func (a *ask) take() bool     { return a.state.CompareAndSwap(askWaits, askTaken) }
func (a *ask) withdraw() bool { return a.state.CompareAndSwap(askWaits, askWithdrawn) }

func (a *ask) reply(value []byte, err error) { a.answer <- answer{value: value, err: err} }

// Propose adds a command to the log and returns the result of its
// application. The command must not be changed afterwards. When ctx ends
// first, the error wraps ctx.Err(); it also wraps ErrUnknown if the command
// had been proposed by then.
func (r *Replica) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	a := newAsk(askPropose)
	a.data = cmd
	return r.ask(ctx, a)
}

// Read returns once the local state holds everything that was acknowledged
// before the call. Only the leader can tell.
func (r *Replica) Read(ctx context.Context) error {
	_, err := r.ask(ctx, newAsk(askRead))
	return err
}

// AddLearner adds a replica without a vote and returns once that is
// committed.
func (r *Replica) AddLearner(ctx context.Context, id uint64, address netip.AddrPort) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.AddLearner, ID: id, Address: address})
}

// Promote gives a learner its vote. It waits until the learner holds a full
// durable copy and the promotion is committed, or until ctx ends. A voter that
// was lost is removed first.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.Promote, ID: id})
}

// Remove removes a replica and returns once that is committed. A leader that
// removes itself hands the lead over.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.Remove, ID: id})
}

// Change carries out a membership change once it is no longer early and returns
// when it is committed. When ctx ends first, the error also says why the change
// was early.
func (r *Replica) Change(ctx context.Context, ch agatequorum.Change) error {
	var early error
	for {
		a := newAsk(askChange)
		a.change = ch
		_, err := r.ask(ctx, a)
		if early != nil && err != nil && ctx.Err() != nil {
			return fmt.Errorf("%w: %w", err, early)
		}
		if !isEarly(err) {
			return err
		}
		early = err
		retry := time.NewTimer(r.cfg.Heartbeat)
		select {
		case <-ctx.Done():
		case <-r.stop:
		case <-retry.C:
		}
		retry.Stop()
	}
}

func (r *Replica) ask(ctx context.Context, a *ask) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("agatereplica: not proposed: %w", err)
	}
	select {
	case <-r.stop:
		return nil, ErrStopped
	default:
	}
	if !r.asks.Offer(a) {
		return nil, ErrFull
	}
	select {
	case got := <-a.answer:
		return got.value, got.err
	case <-ctx.Done():
		return a.abandon(ctx.Err())
	case <-r.stopped:
	}
	// The answer may have come together with the stop.
	select {
	case got := <-a.answer:
		return got.value, got.err
	default:
		return a.abandon(ErrStopped)
	}
}

// abandon returns the error of an ask whose caller no longer waits.
func (a *ask) abandon(err error) ([]byte, error) {
	if a.withdraw() {
		return nil, fmt.Errorf("agatereplica: not proposed: %w", err)
	}
	if a.kind == askRead {
		return nil, fmt.Errorf("agatereplica: read not confirmed: %w", err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

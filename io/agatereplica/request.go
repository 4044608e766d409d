package agatereplica

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"agategate/core/agatequorum"
)

type requestKind uint8

const (
	requestPropose requestKind = iota
	requestRead
	requestChange
	requestTransfer
)

// States of a request. A request is either taken by the driver or withdrawn by
// its caller, never both.
const (
	statePending int32 = iota
	stateTaken
	stateWithdrawn
)

// request is a caller's request to the driver.
type request struct {
	kind   requestKind
	data   []byte
	change agatequorum.Change
	state  atomic.Int32
	// response is buffered for the single response.
	response chan response
}

type response struct {
	value []byte
	err   error
}

func newRequest(kind requestKind) *request {
	return &request{kind: kind, response: make(chan response, 1)}
}

func (req *request) take() bool     { return req.state.CompareAndSwap(statePending, stateTaken) }
func (req *request) withdraw() bool { return req.state.CompareAndSwap(statePending, stateWithdrawn) }

func (req *request) reply(value []byte, err error) { req.response <- response{value: value, err: err} }

// Propose appends a command to the log and returns the result of applying it.
// The command must not be changed afterwards. If ctx ends first, the error
// wraps ctx.Err(); it also wraps ErrUnknown if the command had already been
// proposed.
func (r *Replica) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	req := newRequest(requestPropose)
	req.data = cmd
	return r.submit(ctx, req)
}

// Read returns once the local state includes everything that was acknowledged
// before the call. It succeeds only on the leader.
func (r *Replica) Read(ctx context.Context) error {
	_, err := r.submit(ctx, newRequest(requestRead))
	return err
}

// AddLearner adds a replica without a vote and returns once the change is
// committed.
func (r *Replica) AddLearner(ctx context.Context, id uint64, address netip.AddrPort) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.AddLearner, ID: id, Address: address})
}

// Promote gives a learner a vote. It waits until the learner has a full durable
// copy and the promotion is committed, or until ctx ends. A lost voter must be
// removed first.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.Promote, ID: id})
}

// Remove removes a replica and returns once the change is committed. A leader
// that removes itself transfers the leadership.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.Change(ctx, agatequorum.Change{Kind: agatequorum.Remove, ID: id})
}

// Change makes a membership change, retrying while it is not yet possible, and
// returns once it is committed. If ctx ends first, the error also says why the
// change was not possible.
func (r *Replica) Change(ctx context.Context, ch agatequorum.Change) error {
	var lastErr error
	for {
		err := r.TryChange(ctx, ch)
		if lastErr != nil && err != nil && ctx.Err() != nil {
			return fmt.Errorf("%w: %w", err, lastErr)
		}
		if !isRetryable(err) {
			return err
		}
		lastErr = err
		retry := time.NewTimer(r.cfg.Heartbeat)
		select {
		case <-ctx.Done():
		case <-r.stop:
		case <-retry.C:
		}
		retry.Stop()
	}
}

// TryChange makes a membership change if that is possible now, and returns once it is
// committed.
func (r *Replica) TryChange(ctx context.Context, ch agatequorum.Change) error {
	req := newRequest(requestChange)
	req.change = ch
	_, err := r.submit(ctx, req)
	return err
}

func (r *Replica) submit(ctx context.Context, req *request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("agatereplica: not proposed: %w", err)
	}
	select {
	case <-r.stop:
		return nil, ErrStopped
	default:
	}
	if !r.requests.Offer(req) {
		return nil, ErrRefused
	}
	select {
	case got := <-req.response:
		return got.value, got.err
	case <-ctx.Done():
		return req.abandon(ctx.Err())
	case <-r.stopped:
	}
	// The response may have arrived together with the stop.
	select {
	case got := <-req.response:
		return got.value, got.err
	default:
		return req.abandon(ErrStopped)
	}
}

// abandon returns the error for a request whose caller stops waiting.
func (req *request) abandon(err error) ([]byte, error) {
	if req.withdraw() {
		return nil, fmt.Errorf("agatereplica: not proposed: %w", err)
	}
	if req.kind == requestRead {
		return nil, fmt.Errorf("agatereplica: read not confirmed: %w", err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Package agateclient implements the gRPC client through which entry processes
// call the control group.
//
// A Client sends calls to the leader; followers reply with the leader's address.
// Commands on action records, and on probes of suspects (requests suspected of
// crashing upstreams), carry a token that makes them idempotent. Reports of deaths
// and clearings of suspects may be repeated without one. So a command whose result
// was lost is retried until the caller's context ends.
//
// # Usage
//
//	c := agateclient.New(agateclient.Config{Replicas: addrs, Dialer: d, Sender: id})
//	result, outcome := c.Submit(ctx, command)
//	if outcome != agateclient.Applied {
//		// result unknown, or command refused before it was proposed
//	}
package agateclient

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"agategate/io/agatelink"
	"agategate/io/agatewire"
)

const (
	// attemptTimeout bounds one attempt, so that an unresponsive replica does not
	// use up the whole deadline.
	attemptTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff between rounds
	// over all replicas.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// Values of SubmitReply.Code.
const (
	CodeApplied   = 0 // committed and applied; Result is set
	CodeNotLeader = 1 // not proposed; Leader is the address of the leader
	CodeUnknown   = 2 // may still take effect
	CodeRefused   = 3 // rejected before it was proposed
)

// LeaderUnknown is the leader address in the reply of a replica that knows no
// leader.
const LeaderUnknown = "?"

// ErrUnavailable is returned if no replica answered as leader in time.
var ErrUnavailable = errors.New("agateclient: no control replica answered as leader")

// Outcome is the outcome of a submitted command.
type Outcome uint8

// Outcomes of Submit.
const (
	// Unknown means that the command may or may not take effect.
	Unknown Outcome = iota
	// Applied means that the command is committed and its result is known.
	Applied
	// Refused means that the command will never take effect.
	Refused
)

// Config configures a Client.
type Config struct {
	// Replicas are the peer addresses of the control replicas.
	Replicas []netip.AddrPort
	Dialer   *agatelink.Dialer
	// Sender returns the sender identity for each message.
	Sender func() *agatewire.Sender
}

// Client calls the control group. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu     sync.Mutex
	leader netip.AddrPort
	next   int // index of the next replica to try while no leader is known
}

// New returns a Client. It finds the leader on the first call.
func New(cfg Config) *Client {
	return &Client{cfg: cfg}
}

// nextReplica returns the leader or, while it is unknown, the replicas in turn.
func (c *Client) nextReplica() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.IsValid() {
		return c.leader
	}
	addr := c.cfg.Replicas[c.next%len(c.cfg.Replicas)]
	c.next++
	return addr
}

// setLeader stores the leader's address, or clears it if hint is not an address.
func (c *Client) setLeader(hint string) {
	addr, err := netip.ParseAddrPort(hint)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leader = netip.AddrPort{}
		return
	}
	c.leader = addr
}

// call runs attempts until one is final or ctx ends. The leader address that an
// attempt returns is that of the reply: empty if the replica answered as leader,
// LeaderUnknown if it is a follower that knows no leader. It is also empty after
// an error. Unless the attempt is final, it replaces the known leader, or clears
// it if it is not an address.
func (c *Client) call(ctx context.Context, attempt func(context.Context, agatewire.ControlClient) (leader string, final bool, err error)) error {
	if len(c.cfg.Replicas) == 0 {
		return ErrUnavailable
	}
	delay := minRetryDelay
	for n := 0; ctx.Err() == nil; n++ {
		addr := c.nextReplica()
		conn, err := c.cfg.Dialer.Conn(addr)
		if err != nil {
			return fmt.Errorf("agateclient: %w", err)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		leader, final, err := attempt(attemptCtx, agatewire.NewControlClient(conn))
		cancel()
		c.cfg.Dialer.Report(addr, err)
		if err == nil && final {
			return nil
		}
		c.setLeader(leader)
		// During an election, replicas may name each other as leader. The delay
		// after each round of attempts prevents a busy loop.
		if n%len(c.cfg.Replicas) != len(c.cfg.Replicas)-1 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return ErrUnavailable
}

// Submit sends an encoded state command to the leader and returns the encoded
// result when the outcome is Applied. The command must be idempotent.
func (c *Client) Submit(ctx context.Context, command []byte) ([]byte, Outcome) {
	outcome := Unknown
	maybeApplied := false // an earlier attempt may still take effect
	var result []byte
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Submit(ctx, &agatewire.SubmitAsk{Sender: c.cfg.Sender(), Command: command})
		if err != nil {
			maybeApplied = true
			return "", false, err
		}
		switch reply.Code {
		case CodeApplied:
			result, outcome = reply.Result, Applied
			return "", true, nil
		case CodeRefused:
			// A refusal does not rule out that an earlier attempt takes effect.
			if !maybeApplied {
				outcome = Refused
			}
			return "", !maybeApplied, nil
		case CodeUnknown:
			maybeApplied = true
			return reply.Leader, false, nil
		default:
			return reply.Leader, false, nil
		}
	})
	if err != nil {
		return nil, Unknown
	}
	return result, outcome
}

// Heartbeat sends a heartbeat to the leader.
func (c *Client) Heartbeat(ctx context.Context, req *agatewire.BeatAsk) (*agatewire.BeatReply, error) {
	var out *agatewire.BeatReply
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Beat(ctx, req)
		if err != nil {
			return "", false, err
		}
		out = reply
		return reply.Leader, reply.Leader == "", nil
	})
	return out, err
}

// Config returns the latest configuration by a linearizable read.
func (c *Client) Config(ctx context.Context) (*agatewire.ConfigReply, error) {
	var out *agatewire.ConfigReply
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Config(ctx, &agatewire.ConfigAsk{Sender: c.cfg.Sender()})
		if err != nil {
			return "", false, err
		}
		out = reply
		return reply.Leader, reply.Leader == "", nil
	})
	return out, err
}

// LatestRevision returns the latest revision and log index by a linearizable read.
func (c *Client) LatestRevision(ctx context.Context) (*agatewire.ReadReply, error) {
	var out *agatewire.ReadReply
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Read(ctx, &agatewire.ReadAsk{Sender: c.cfg.Sender()})
		if err != nil {
			return "", false, err
		}
		out = reply
		return reply.Leader, reply.Leader == "", nil
	})
	return out, err
}

// Package agateclient calls the control group.
//
// A Client follows the group's leader: a replica that does not lead names the
// one that does. Commands on action records and suspects are idempotent by
// their token, so a command whose result was lost is sent again until the
// caller's context ends.
//
// # Usage
//
//	c := agateclient.New(agateclient.Config{Replicas: addrs, Dialer: d, Sender: id})
//	result, outcome := c.Submit(ctx, command)
//	if outcome != agateclient.Applied {
//		// unknown, or refused before it was proposed
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
	// attemptTime bounds one call, so that a silent replica does not use up
	// the whole deadline.
	attemptTime = time.Second
	// pauseFirst and pauseMost bound the pause after a round in which no
	// replica led.
	pauseFirst = 10 * time.Millisecond
	pauseMost  = 200 * time.Millisecond
)

// Codes of SubmitReply.
const (
	CodeApplied   = 0
	CodeNotLeader = 1
	CodeUnknown   = 2
	CodeRefused   = 3
)

// LeaderUnknown is what a replica names as leader when it knows none.
const LeaderUnknown = "?"

// ErrUnavailable says that no replica answered as leader in time.
var ErrUnavailable = errors.New("agateclient: no control replica answered as leader")

// Outcome says what became of a submitted command.
type Outcome uint8

// The outcomes of Submit.
const (
	// Unknown means that the command may or may not take effect.
	Unknown Outcome = iota
	// Applied means that the result is that of the durable command.
	Applied
	// Refused means that the command never takes effect.
	Refused
)

// Config sets up a Client.
type Config struct {
	// Replicas are the addresses for own processes of the control replicas.
	Replicas []netip.AddrPort
	Dialer   *agatelink.Dialer
	// Sender returns the identity that each message carries.
	Sender func() *agatewire.Sender
}

// Client calls the control group. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu     sync.Mutex
	leader netip.AddrPort
	next   int
}

// New returns a Client that knows no leader yet.
func New(cfg Config) *Client {
	return &Client{cfg: cfg}
}

// target returns the replica to call next.
func (c *Client) target() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.IsValid() {
		return c.leader
	}
	addr := c.cfg.Replicas[c.next%len(c.cfg.Replicas)]
	c.next++
	return addr
}

// learn keeps a leader's address, or forgets the leader when hint is empty.
func (c *Client) learn(hint string) {
	addr, err := netip.ParseAddrPort(hint)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leader = netip.AddrPort{}
		return
	}
	c.leader = addr
}

// call runs one attempt after the other until one is final or ctx ends. An
// attempt returns the leader's address when the callee does not lead.
func (c *Client) call(ctx context.Context, attempt func(context.Context, agatewire.ControlClient) (leader string, final bool, err error)) error {
	if len(c.cfg.Replicas) == 0 {
		return ErrUnavailable
	}
	pause := pauseFirst
	for n := 0; ctx.Err() == nil; n++ {
		addr := c.target()
		conn, err := c.cfg.Dialer.Conn(addr)
		if err != nil {
			return fmt.Errorf("agateclient: %w", err)
		}
		one, cancel := context.WithTimeout(ctx, attemptTime)
		leader, final, err := attempt(one, agatewire.NewControlClient(conn))
		cancel()
		c.cfg.Dialer.Report(addr, err)
		if err == nil && final {
			return nil
		}
		c.learn(leader)
		// Replicas that name each other as leader during an election must not
		// keep the client busy, so each round of attempts ends in a pause.
		if n%len(c.cfg.Replicas) != len(c.cfg.Replicas)-1 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, pauseMost)
	}
	return ErrUnavailable
}

// Submit sends an encoded state command to the leader and returns the encoded
// result when the outcome is Applied. The command must be idempotent.
func (c *Client) Submit(ctx context.Context, command []byte) ([]byte, Outcome) {
	outcome := Unknown
	sent := false // an earlier attempt may still take effect
	var result []byte
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Submit(ctx, &agatewire.SubmitAsk{Sender: c.cfg.Sender(), Command: command})
		if err != nil {
			sent = true
			return "", false, err
		}
		switch reply.Code {
		case CodeApplied:
			result, outcome = reply.Result, Applied
			return "", true, nil
		case CodeRefused:
			if !sent {
				outcome = Refused
			}
			return "", !sent, nil
		case CodeUnknown:
			sent = true
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

// Beat sends a heartbeat to the leader.
func (c *Client) Beat(ctx context.Context, ask *agatewire.BeatAsk) (*agatewire.BeatReply, error) {
	var out *agatewire.BeatReply
	err := c.call(ctx, func(ctx context.Context, cc agatewire.ControlClient) (string, bool, error) {
		reply, err := cc.Beat(ctx, ask)
		if err != nil {
			return "", false, err
		}
		out = reply
		return reply.Leader, reply.Leader == "", nil
	})
	return out, err
}

// Config returns the newest configuration, confirmed by a majority.
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

// Read returns the newest revision and log index, confirmed by a majority.
func (c *Client) Read(ctx context.Context) (*agatewire.ReadReply, error) {
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

// Package agateupstream is the HTTP/1.1 client towards upstreams. Every
// connection carries one request at a time, nothing is ever sent twice, and a
// connection whose state is in doubt is closed, so that a late answer cannot
// reach another caller.
//
// # Usage
//
//	pool := agateupstream.New(agateupstream.Config{})
//	defer pool.Close()
//	pool.SetShare("labels-3", 33)
//	r := pool.Do(ctx, agateupstream.Call{
//		Upstream: "labels-3",
//		Address:  addr,
//		Method:   "POST",
//		Path:     "/labels",
//		Body:     body,
//		Action:   true,
//		Deadline: deadline,
//	})
//	if r.Kind == agateupstream.Answered {
//		...
//	}
package agateupstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"agategate/internal/agatesocket"
)

// Defaults of a Config.
const (
	DefaultBodyLimit   = 8 << 20
	DefaultHeaderLimit = 64 << 10
	DefaultShare       = 32
	DefaultIdleAge     = 30 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultUserTimeout = 2 * time.Second
	DefaultDeadline    = 2 * time.Second
	DefaultActionLife  = time.Second
)

// Config holds the settings of a Pool.
type Config struct {
	// BodyLimit is the largest body of an answer in bytes; default 8 MiB.
	BodyLimit int64
	// HeaderLimit is the largest header of an answer in bytes, interim
	// answers included; default 64 KiB.
	HeaderLimit int64
	// Share is the number of connections to an upstream for which SetShare
	// was not called; default 32.
	Share int
	// IdleAge is how long a connection may be idle; default 30 s.
	IdleAge time.Duration
	// DialTimeout bounds the opening of a connection; default 500 ms.
	DialTimeout time.Duration
	// UserTimeout is how long written bytes may stay unacknowledged; default
	// 2 s.
	UserTimeout time.Duration
	// ActionLife is how recently a kept connection must have shown life to
	// carry an action; default 1 s.
	ActionLife time.Duration
	// DeadlineHeader and RequestHeader name the headers with the time left and
	// with the request's id. The defaults are Agate-Deadline-Ms and
	// Agate-Request.
	DeadlineHeader string
	RequestHeader  string
	// NotRun reports whether an answer states that the upstream did not run
	// the request. The default asks for status 503 with the header
	// "Agate-Shed: before-execution".
	NotRun func(status int, h http.Header) bool
	// Unframed accepts answers without a length, which end with their
	// connection. They are whole only if it ends in order.
	Unframed bool
}

func (cfg *Config) setDefaults() {
	if cfg.ActionLife <= 0 {
		cfg.ActionLife = DefaultActionLife
	}
	if cfg.DeadlineHeader == "" {
		cfg.DeadlineHeader = headerDeadline
	}
	if cfg.RequestHeader == "" {
		cfg.RequestHeader = headerRequest
	}
	if cfg.NotRun == nil {
		cfg.NotRun = shed
	}
	if cfg.BodyLimit <= 0 {
		cfg.BodyLimit = DefaultBodyLimit
	}
	if cfg.HeaderLimit <= 0 {
		cfg.HeaderLimit = DefaultHeaderLimit
	}
	if cfg.Share <= 0 {
		cfg.Share = DefaultShare
	}
	if cfg.IdleAge <= 0 {
		cfg.IdleAge = DefaultIdleAge
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.UserTimeout <= 0 {
		cfg.UserTimeout = DefaultUserTimeout
	}
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer
	stop   chan struct{}

	mu        sync.Mutex
	closed    bool
	upstreams map[string]*upstream
}

// New returns a Pool. Close ends it.
func New(cfg Config) *Pool {
	cfg.setDefaults()
	p := &Pool{
		cfg:       cfg,
		dialer:    agatesocket.NewDialer(agatesocket.Config{ConnectTimeout: cfg.DialTimeout, UserTimeout: cfg.UserTimeout}),
		stop:      make(chan struct{}),
		upstreams: map[string]*upstream{},
	}
	go p.sweep()
	return p
}

// Close closes the idle connections. Calls in progress end normally; later
// ones return NotWritten.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for id, u := range p.upstreams {
		u.setShare(0)
		delete(p.upstreams, id)
	}
}

// SetShare sets how many connections this process may have to an upstream,
// idle ones included. Idle ones beyond the share are closed at once, those in
// use at the end of their request. A share of 0 lets no call through.
func (p *Pool) SetShare(id string, share int) {
	if u := p.upstream(id); u != nil {
		u.setShare(share)
	}
}

// Forget closes the idle connections to an upstream and drops its share. It is
// to be called when an upstream leaves, or its state stays in memory.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	u := p.upstreams[id]
	delete(p.upstreams, id)
	p.mu.Unlock()
	if u != nil {
		u.setShare(0)
	}
}

// Usage returns the number of connections to an upstream, and how many of
// them are idle.
func (p *Pool) Usage(id string) (open, idle int) {
	p.mu.Lock()
	u := p.upstreams[id]
	p.mu.Unlock()
	if u == nil {
		return 0, 0
	}
	return u.usage()
}

// upstream returns the state of an upstream, or nil after Close.
func (p *Pool) upstream(id string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	u := p.upstreams[id]
	if u == nil {
		u = newUpstream(p.cfg.Share)
		p.upstreams[id] = u
	}
	return u
}

// sweep closes connections that have been idle for too long.
func (p *Pool) sweep() {
	tick := time.NewTicker(max(p.cfg.IdleAge/4, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			p.closeIdle(now.Add(-p.cfg.IdleAge))
		}
	}
}

func (p *Pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.closeIdle(before)
	}
}

// Do sends one request, at most once, and returns how it ended. It returns
// when the whole answer is read, or at Deadline plus Grace, or when ctx ends.
func (p *Pool) Do(ctx context.Context, call Call) Reply {
	begin := time.Now()
	if call.Deadline.IsZero() {
		call.Deadline = begin.Add(DefaultDeadline)
	}
	r := p.do(ctx, &call)
	r.Elapsed = time.Since(begin)
	return r
}

func (p *Pool) do(ctx context.Context, call *Call) Reply {
	if err := validate(call); err != nil {
		return Reply{Kind: NotWritten, Err: err}
	}
	u := p.upstream(call.Upstream)
	if u == nil {
		return Reply{Kind: NotWritten, Err: ErrClosed}
	}
	c, r, ok := p.connect(ctx, u, call)
	if !ok {
		return r
	}
	stop := context.AfterFunc(ctx, c.close)
	x := exchange{ctx: ctx, call: call, conn: c, header: outgoing(call, p.cfg.DeadlineHeader), limits: &p.cfg}
	r = x.run()
	r.Travel = c.travel
	x.join()
	reusable := stop() && x.reusable
	if x.silent {
		// The fault that lost this request may affect the idle connections
		// too.
		u.closeIdle(x.wrote)
	}
	if x.broke(r) {
		c.close()
		r.Died = p.died(ctx, u, call)
		return r
	}
	u.release(c, reusable)
	return r
}

// connect returns a connection for the call: an idle one that is fit for it,
// or a new one.
func (p *Pool) connect(ctx context.Context, u *upstream, call *Call) (c *conn, r Reply, ok bool) {
	if r, over := ended(ctx, call, nil); over {
		return nil, r, false
	}
	now := time.Now()
	oldest := now.Add(-p.cfg.IdleAge)
	if call.Action {
		oldest = now.Add(-p.cfg.ActionLife)
	}
	c, ok = u.acquire(call.Address, oldest)
	if !ok {
		return nil, Reply{Kind: Busy, Err: ErrBusy}, false
	}
	if c != nil {
		return c, Reply{}, true
	}
	c, err := p.dial(ctx, call)
	if err != nil {
		u.releaseSlot()
		return nil, dialFailure(ctx, call, err), false
	}
	return c, Reply{}, true
}

func (p *Pool) dial(ctx context.Context, call *Call) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return dial(ctx, p.dialer, call.Address)
}

func dialFailure(ctx context.Context, call *Call, err error) Reply {
	err = fmt.Errorf("agateupstream: connect: %w", err)
	if r, over := ended(ctx, call, err); over {
		return r
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Reply{Kind: Refused, Err: err}
	}
	return Reply{Kind: NotWritten, Err: err}
}

// ended reports whether the call was cancelled or its deadline has passed
// before anything was written.
func ended(ctx context.Context, call *Call, err error) (r Reply, over bool) {
	cause := ctx.Err()
	if cause == nil && !time.Now().Before(call.Deadline) {
		cause = context.DeadlineExceeded
	}
	if cause == nil {
		return Reply{}, false
	}
	if err == nil {
		err = cause
	}
	if errors.Is(cause, context.Canceled) {
		return Reply{Kind: Cancelled, Err: err}, true
	}
	return Reply{Kind: TimedOut, Err: err}, true
}

func (p *Pool) redial(ctx context.Context, call *Call) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, redialTimeout)
	defer cancel()
	return dial(ctx, p.dialer, call.Address)
}

// died decides whether the upstream's process ended: a new connection is
// refused, or other connections broke at the same time. It takes over the
// slot of the broken connection.
func (p *Pool) died(ctx context.Context, u *upstream, call *Call) bool {
	b := u.recordBreak(time.Now())
	c, err := p.redial(ctx, call)
	if err != nil {
		u.releaseSlot()
	} else {
		u.release(c, true)
	}
	if errors.Is(err, syscall.ECONNREFUSED) || b.again {
		return true
	}
	if !b.others {
		return false
	}
	timer := time.NewTimer(breakWindow)
	defer timer.Stop()
	select {
	case <-b.next:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

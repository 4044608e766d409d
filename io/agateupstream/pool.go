// Package agateupstream is an HTTP/1.1 client with a connection pool for each
// upstream. Each connection carries one request at a time, no request is sent
// twice, and a connection in an unknown state is closed, so that a late response
// cannot reach another caller.
//
// # Usage
//
//	pool := agateupstream.New(agateupstream.Config{})
//	defer pool.Close()
//	pool.SetMaxConns("labels-3", 33)
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
	"net/netip"
	"sync"
	"syscall"
	"time"

	"agategate/internal/agatebuffer"
	"agategate/internal/agatesocket"
)

// Defaults of Config. DefaultTimeout is the time until the deadline of a Call
// without one.
const (
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxConns          = 32
	DefaultIdleTimeout       = 30 * time.Second
	DefaultConnectTimeout    = 500 * time.Millisecond
	DefaultTCPUserTimeout    = 2 * time.Second
	DefaultTimeout           = 2 * time.Second
	DefaultActionIdleTimeout = time.Second
)

// Config holds the settings of a Pool.
type Config struct {
	// MaxBodyBytes is the maximum size of a response body; default 8 MiB.
	MaxBodyBytes int64
	// Account is charged for the responses that are being read, which wait for room in it.
	// The default is an account of its own.
	Account *agatebuffer.Account
	// MaxHeaderBytes is the maximum size of a response header, including those
	// of interim responses; default 64 KiB.
	MaxHeaderBytes int64
	// MaxConns is the maximum number of connections to an upstream for which
	// SetMaxConns was not called; default 32.
	MaxConns int
	// IdleTimeout is how long a connection may be idle; default 30 s.
	IdleTimeout time.Duration
	// ConnectTimeout limits the time to open a connection; default 500 ms.
	ConnectTimeout time.Duration
	// TCPUserTimeout is the TCP user timeout: how long sent bytes may remain
	// unacknowledged; default 2 s.
	TCPUserTimeout time.Duration
	// ActionIdleTimeout is the longest time since its last activity after which
	// an idle connection still carries an action; default 1 s.
	ActionIdleTimeout time.Duration
	// DeadlineHeader and RequestHeader are the names of the headers with the
	// remaining time in milliseconds and with the request's id. The defaults are
	// Agate-Deadline-Ms and Agate-Request.
	DeadlineHeader string
	RequestHeader  string
	// NotRun reports whether a response states that the upstream did not
	// run the request. The default accepts status 503 with the header
	// "Agate-Shed: before-execution".
	NotRun func(status int, h http.Header) bool
	// AllowCloseDelimited accepts responses without Content-Length or chunked
	// encoding, whose body ends when the upstream closes the connection. They
	// are complete only if the connection ends without an error.
	AllowCloseDelimited bool
}

func (cfg *Config) setDefaults() {
	if cfg.ActionIdleTimeout <= 0 {
		cfg.ActionIdleTimeout = DefaultActionIdleTimeout
	}
	if cfg.DeadlineHeader == "" {
		cfg.DeadlineHeader = headerDeadline
	}
	if cfg.RequestHeader == "" {
		cfg.RequestHeader = headerRequest
	}
	if cfg.NotRun == nil {
		cfg.NotRun = isShed
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.Account == nil {
		cfg.Account = agatebuffer.New(agatebuffer.Config{})
	}
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.TCPUserTimeout <= 0 {
		cfg.TCPUserTimeout = DefaultTCPUserTimeout
	}
}

// Pool pools the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer
	stop   chan struct{}
	bodies *bodies

	mu        sync.Mutex
	closed    bool
	upstreams map[string]*upstreamConns
}

// New returns a Pool. Close must be called to release it.
func New(cfg Config) *Pool {
	cfg.setDefaults()
	p := &Pool{
		cfg:       cfg,
		dialer:    agatesocket.NewDialer(agatesocket.Config{ConnectTimeout: cfg.ConnectTimeout, TCPUserTimeout: cfg.TCPUserTimeout}),
		stop:      make(chan struct{}),
		bodies:    newBodies(),
		upstreams: map[string]*upstreamConns{},
	}
	go p.sweep()
	return p
}

// Close closes the idle connections. Calls in progress complete normally; later
// calls return NotWritten with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for id, u := range p.upstreams {
		u.setMaxConns(0)
		delete(p.upstreams, id)
	}
}

// SetMaxConns sets the maximum number of connections to an upstream, including
// idle ones. Idle connections above the limit are closed at once, those in use at
// the end of their request. With a limit of 0 every call returns Busy.
func (p *Pool) SetMaxConns(id string, maxConns int) {
	if u := p.upstream(id); u != nil {
		u.setMaxConns(maxConns)
	}
}

// Remove closes the idle connections to an upstream and discards its connection
// limit. Call it when an upstream is removed; otherwise its state stays in memory.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	u := p.upstreams[id]
	delete(p.upstreams, id)
	p.mu.Unlock()
	if u != nil {
		u.setMaxConns(0)
	}
}

// Usage returns the number of connections to an upstream and the number of idle
// ones among them.
func (p *Pool) Usage(id string) (open, idle int) {
	p.mu.Lock()
	u := p.upstreams[id]
	p.mu.Unlock()
	if u == nil {
		return 0, 0
	}
	return u.usage()
}

// upstream returns the state of an upstream and creates it if necessary. After
// Close it returns nil.
func (p *Pool) upstream(id string) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	u := p.upstreams[id]
	if u == nil {
		u = newUpstream(p.cfg.MaxConns)
		p.upstreams[id] = u
	}
	return u
}

// sweep closes connections that have exceeded IdleTimeout, until Close.
func (p *Pool) sweep() {
	tick := time.NewTicker(max(p.cfg.IdleTimeout/4, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			p.closeIdle(now.Add(-p.cfg.IdleTimeout))
		}
	}
}

func (p *Pool) closeIdle(cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.closeIdle(cutoff)
	}
}

// Do sends a request at most once and returns the result. It returns when the
// complete response is read, at Deadline plus Grace, or when ctx is done. If the
// connection breaks, the check whether the upstream's process ended takes up to
// 150 ms more.
func (p *Pool) Do(ctx context.Context, call Call) Result {
	start := time.Now()
	if call.Deadline.IsZero() {
		call.Deadline = start.Add(DefaultTimeout)
	}
	if call.Charge == nil {
		call.Charge = p.cfg.Account.Open().Begin()
		defer call.Charge.End()
	}
	r := p.do(ctx, &call)
	r.Elapsed = time.Since(start)
	return r
}

func (p *Pool) do(ctx context.Context, call *Call) Result {
	if err := validate(call); err != nil {
		return Result{Kind: NotWritten, Err: err}
	}
	u := p.upstream(call.Upstream)
	if u == nil {
		return Result{Kind: NotWritten, Err: ErrClosed}
	}
	c, r, ok := p.connect(ctx, u, call)
	if !ok {
		return r
	}
	stop := context.AfterFunc(ctx, c.close)
	x := exchange{
		ctx:    ctx,
		call:   call,
		conn:   c,
		header: outgoingHeader(call, p.cfg.DeadlineHeader),
		id:     call.Header.Get(p.cfg.RequestHeader),
		cfg:    &p.cfg,
		bodies: p.bodies,
	}
	r = x.roundTrip()
	r.RTT = c.rtt
	x.waitWritten()
	reusable := stop() && x.reusable
	if x.unresponsive {
		// The fault may affect the idle connections as well.
		u.closeIdle(x.writeStart)
	}
	if x.brokeMidRequest(r) {
		c.close()
		r.UpstreamDied = p.processEnded(ctx, u, call)
		return r
	}
	u.release(c, reusable)
	return r
}

// Connect opens a connection to an upstream and keeps it for later calls, if the
// limit of connections allows. It returns the time that this took, and fails as a call
// would whose connection cannot be opened.
func (p *Pool) Connect(ctx context.Context, id string, addr netip.AddrPort) (time.Duration, error) {
	c, err := dial(ctx, p.dialer, addr)
	if err != nil {
		return 0, fmt.Errorf("agateupstream: connect: %w", err)
	}
	took := c.rtt
	if u := p.upstream(id); u == nil || !u.add(c) {
		c.close()
	}
	return took, nil
}

// connect returns a connection for the call: a suitable idle one or a new one. If
// ok is false, r is the final result.
func (p *Pool) connect(ctx context.Context, u *upstreamConns, call *Call) (c *conn, r Result, ok bool) {
	if r, over := checkEnded(ctx, call, nil); over {
		return nil, r, false
	}
	now := time.Now()
	activeSince := now.Add(-p.cfg.IdleTimeout)
	if call.Action {
		activeSince = now.Add(-p.cfg.ActionIdleTimeout)
	}
	c, ok = u.acquire(call.Address, activeSince, call.Header.Get(p.cfg.RequestHeader))
	if !ok {
		return nil, Result{Kind: Busy, Err: ErrBusy}, false
	}
	if c != nil {
		return c, Result{}, true
	}
	c, err := p.dial(ctx, call)
	if err != nil {
		u.releaseSlot()
		return nil, dialFailure(ctx, call, err), false
	}
	if call.Connected != nil {
		call.Connected(c.rtt)
	}
	return c, Result{}, true
}

func (p *Pool) dial(ctx context.Context, call *Call) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return dial(ctx, p.dialer, call.Address)
}

func dialFailure(ctx context.Context, call *Call, err error) Result {
	err = fmt.Errorf("agateupstream: connect: %w", err)
	if r, over := checkEnded(ctx, call, err); over {
		return r
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Result{Kind: Refused, Err: err}
	}
	return Result{Kind: NotWritten, Err: err}
}

// checkEnded reports whether the call was canceled or its deadline has passed
// before anything was written. The result then has err or, if it is nil, the cause.
func checkEnded(ctx context.Context, call *Call, err error) (r Result, over bool) {
	cause := ctx.Err()
	if cause == nil && !time.Now().Before(call.Deadline) {
		cause = context.DeadlineExceeded
	}
	if cause == nil {
		return Result{}, false
	}
	if err == nil {
		err = cause
	}
	if errors.Is(cause, context.Canceled) {
		return Result{Kind: Canceled, Err: err}, true
	}
	return Result{Kind: TimedOut, Err: err}, true
}

func (p *Pool) redial(ctx context.Context, call *Call) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, redialTimeout)
	defer cancel()
	return dial(ctx, p.dialer, call.Address)
}

// processEnded reports whether the upstream's process ended: a new connection is
// refused, or another connection broke within failureWindow. It uses the slot of
// the broken connection for the new one or releases it, and blocks for up to
// redialTimeout plus failureWindow.
func (p *Pool) processEnded(ctx context.Context, u *upstreamConns, call *Call) bool {
	b := u.recordFailure(time.Now())
	c, err := p.redial(ctx, call)
	if err != nil {
		u.releaseSlot()
	} else {
		u.release(c, true)
	}
	if errors.Is(err, syscall.ECONNREFUSED) || b.repeated {
		return true
	}
	if !b.othersInUse {
		return false
	}
	timer := time.NewTimer(failureWindow)
	defer timer.Stop()
	select {
	case <-b.nextFailure:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

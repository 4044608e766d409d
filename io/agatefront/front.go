// Package agatefront is the entry host for deployments with routing plans: it
// accepts HTTP requests from callers, selects a route and an upstream for each,
// and relays the responses. It receives upstreams, evacuations, plans and the
// list of entry hosts from the control group and keeps no durable state.
//
// Each watched control replica has one goroutine, each caller connection one
// reader and one writer, and each request in progress one goroutine. The
// load-balancing table is guarded by a single mutex, because calls to it take
// microseconds.
//
// # Usage
//
//	f, err := agatefront.Start(agatefront.Config{
//		Name: "entry-1", Region: "centro", Domain: "centro-1", Regions: regions,
//		Listen: addr, Seeds: seeds,
//	})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	f.Stop(stopCtx) // finishes requests in progress
package agatefront

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"agategate/core/agatebalance"
	"agategate/core/agatepeer"
	"agategate/core/agateplan"
	"agategate/core/agatequota"
	"agategate/internal/agatebuffer"
	"agategate/io/agatelink"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
)

// Headers holds the names of the HTTP headers that callers, entry hosts and
// upstreams exchange. An empty field selects the default name; Stamp has none.
type Headers struct {
	RequestID      string // the request's id
	Deadline       string // remaining time in milliseconds
	AffinityKey    string // key for sticky routing to an upstream
	ExpectUpstream string // id of the only upstream that may run the request
	Key            string // key of the caller's workspace; never sent on
	Workspace      string // name of the workspace, set by the host
	Stamp          string // marks a response as sent by an upstream; not checked by default
	Load           string // "running,waiting,slots" of the responding upstream
	Limit          string // requests per second that the upstream takes from all hosts together
	Leaving        string // "1" if the responding upstream is about to stop
	// NotRun reports whether a response states that the upstream did not
	// run the request. The default accepts what agateupstream.Config.NotRun
	// accepts by default.
	NotRun func(status int, h http.Header) bool
}

func (h Headers) withDefaults() Headers {
	set := func(s *string, name string) {
		if *s == "" {
			*s = name
		}
	}
	set(&h.RequestID, "Agate-Request")
	set(&h.Deadline, "Agate-Deadline-Ms")
	set(&h.AffinityKey, "Agate-Object")
	set(&h.ExpectUpstream, "Agate-Expect")
	set(&h.Key, "Agate-Key")
	set(&h.Workspace, "Agate-Workspace")
	set(&h.Load, "Agate-Load")
	set(&h.Limit, "Agate-Limit")
	set(&h.Leaving, "Agate-Leaving")
	return h
}

// Config sets up a Front. Name, Region, Domain, Listen and Seeds are required.
type Config struct {
	Name   string
	Region string
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Listen is the address on which connections from callers are accepted.
	Listen netip.AddrPort
	// Peer is the address on which requests are accepted that other entry hosts
	// forward. The zero value means none: this host takes no such requests. It must be
	// reachable by entry hosts only, because what they say about a request is trusted.
	Peer netip.AddrPort
	// Seeds returns addresses of control replicas to contact first. They report
	// the addresses of the others.
	Seeds   func() []netip.AddrPort
	Headers Headers
	// Balance configures load balancing. Its Host, Region, Domain and Regions
	// are overwritten with those of this Config.
	Balance agatebalance.Config
	// MaxCallerConns is the maximum number of open caller connections. The
	// default is 2,000.
	MaxCallerConns int
	// Account is charged for what requests and responses hold in memory. The default is
	// an account of its own with MaxCallerConns holders.
	Account *agatebuffer.Account
	// Admin is the address at which Handler is served, or the zero value if it
	// is not served. Control replicas query it for the decisions on a request.
	Admin netip.AddrPort
	// UpstreamAddr translates the address that an upstream announces to the one at
	// which this host reaches it. If it is nil, they are the same.
	UpstreamAddr func(netip.AddrPort) netip.AddrPort
	// Log writes log lines and retains routing decisions. If it is nil, nothing
	// is written.
	Log *agatelog.Log
	// Metrics receives the host's metrics. It may be nil.
	Metrics *agatemetrics.Set
}

const (
	defaultMaxCallerConns = 2000
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept.
	// The upstream's Keep-Alive timeout can shorten it.
	upstreamIdleTimeout = 8 * time.Second
	// actionIdleTimeout is the longest time since a connection's last activity
	// for it to carry a request that must run at most once. A longer timeout
	// saves new connections, but risks an unknown outcome if the upstream closes
	// the connection first.
	actionIdleTimeout = 5 * time.Second
	// defaultMaxConns is the maximum number of connections to an upstream while
	// the number of entry hosts is unknown.
	defaultMaxConns = 32
)

// Front is a running entry host. It is safe for concurrent use.
type Front struct {
	cfg     Config
	log     hclog.Logger
	epoch   uint64 // random id of this run of the process
	headers Headers
	account *agatebuffer.Account
	pool    *agateupstream.Pool
	dialer  *agatelink.Dialer
	ln      net.Listener
	peerLn  net.Listener // nil without Config.Peer

	mu    sync.Mutex // guards table
	table *agatebalance.Table

	plan     atomic.Pointer[agateplan.Index]
	control  controlLink
	peers    peers
	peerPool *agateupstream.Pool
	quotas   quotas
	waiting  waiting
	// ownRunning and forwardedRunning are the numbers of requests in progress that came
	// from callers and from other entry hosts.
	ownRunning, forwardedRunning atomic.Int64
	suspects                     *suspects
	metrics                      metrics
	routineLimit                 rateLimit   // of log lines on successful requests
	otherLimit                   rateLimit   // of all other log lines on requests
	linksLost                    atomic.Bool // Table.LinksLost, as of the last change
	stopping                     atomic.Bool
	finishing                    atomic.Bool // the host stops, and takes no further requests
	// stopEnd is when a stopping host must have answered its requests, if that is known,
	// and ending is closed then.
	stopEnd  atomic.Pointer[time.Time]
	ending   chan struct{}
	shutdown chan struct{} // closed when a planned stop begins

	conns  conns
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // all goroutines of the host
}

// Start listens for callers and starts to watch the control group. It returns
// an error if it cannot listen on cfg.Listen.
func Start(cfg Config) (*Front, error) {
	if cfg.Log == nil {
		cfg.Log = agatelog.New(agatelog.Config{Output: io.Discard})
	}
	if cfg.MaxCallerConns <= 0 {
		cfg.MaxCallerConns = defaultMaxCallerConns
	}
	if cfg.Account == nil {
		cfg.Account = agatebuffer.New(agatebuffer.Config{Holders: cfg.MaxCallerConns})
	}
	if cfg.UpstreamAddr == nil {
		cfg.UpstreamAddr = func(addr netip.AddrPort) netip.AddrPort { return addr }
	}
	cfg.Balance.Host, cfg.Balance.Region, cfg.Balance.Domain = cfg.Name, cfg.Region, cfg.Domain
	cfg.Balance.Regions = cfg.Regions
	f := &Front{
		cfg:      cfg,
		log:      cfg.Log.Logger(),
		epoch:    newEpoch(),
		headers:  cfg.Headers.withDefaults(),
		account:  cfg.Account,
		table:    agatebalance.New(cfg.Balance),
		shutdown: make(chan struct{}),
		ending:   make(chan struct{}),
	}
	f.suspects = newSuspects()
	f.metrics = newMetrics(f)
	f.pool = agateupstream.New(agateupstream.Config{
		Account:             f.account,
		IdleTimeout:         upstreamIdleTimeout,
		ActionIdleTimeout:   actionIdleTimeout,
		MaxConns:            defaultMaxConns,
		DeadlineHeader:      f.headers.Deadline,
		RequestHeader:       f.headers.RequestID,
		NotRun:              f.headers.NotRun,
		AllowCloseDelimited: true,
	})
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		f.pool.Close()
		return nil, fmt.Errorf("agatefront: %w", err)
	}
	f.ln = ln
	if cfg.Peer.IsValid() {
		if f.peerLn, err = net.Listen("tcp", cfg.Peer.String()); err != nil {
			_ = ln.Close() // the first error is returned
			f.pool.Close()
			return nil, fmt.Errorf("agatefront: %w", err)
		}
	}
	f.peerPool = newPeerPool(&f.headers, f.account)
	f.dialer = agatelink.NewDialer(agatelink.Config{})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.control.f = f
	f.quotas.holder = agatequota.NewHolder()
	f.peers.table = agatepeer.New(agatepeer.Config{Region: cfg.Region, Domain: cfg.Domain})
	f.wg.Go(f.control.run)
	f.wg.Go(func() { f.accept(f.ln, false) })
	if f.peerLn != nil {
		f.wg.Go(func() { f.accept(f.peerLn, true) })
	}
	f.wg.Go(func() { f.watch(linkCheckInterval, f.checkLinks) })
	f.wg.Go(func() { f.watch(linkCheckInterval, f.checkServices) })
	f.log.Info("started", "kind", "start", "region", cfg.Region, "domain", cfg.Domain, "listen", cfg.Listen)
	return f, nil
}

func newEpoch() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Ready reports whether the host can serve callers: it has received the plan
// and the list of upstreams, has links to the upstreams, and Stop has not been
// called.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && !f.linksLost.Load() && f.control.hasState()
}

const (
	// stopAcceptPeriod is how long a stopping host continues to accept
	// connections and requests. Callers cache the list of entry hosts for some seconds, and
	// connections that they open in that time must not be refused.
	stopAcceptPeriod = 2500 * time.Millisecond
	// stopPollInterval is how often a stopping host checks for remaining
	// requests.
	stopPollInterval = 20 * time.Millisecond
	// stopReserve is the part of a planned stop's time in which the last replies are
	// written. Without a deadline, requests in progress get this time to end.
	stopReserve = 150 * time.Millisecond
)

// Stop shuts the host down gracefully: it notifies the control group and accepts
// connections and requests for another 2.5 s. It passes on the responses to the requests
// that it has read and closes each connection after its last reply, until 150 ms before
// the deadline of ctx; without a deadline it waits 150 ms. Requests still in progress then
// get a reply that they timed out. When ctx is done, or after another 150 ms, it closes
// what is still open. Calls after the first return at once.
func (f *Front) Stop(ctx context.Context) {
	start := time.Now()
	if f.stopping.Swap(true) {
		return
	}
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-stopReserve)
		f.stopEnd.Store(&end)
	}
	close(f.shutdown)
	f.log.Info("stopping", "kind", "stop", "open", f.conns.len(), "running", f.conns.numInFlight())
	f.wait(ctx, stopAcceptPeriod, func() bool { return false })
	f.closeListeners()
	f.finishing.Store(true)
	left := stopReserve
	if end := f.stopEnd.Load(); end != nil {
		left = max(0, time.Until(*end))
	}
	allClosed := func() bool { return f.conns.closeIdle() == 0 }
	f.wait(ctx, left, allClosed)
	close(f.ending)
	f.wait(ctx, stopReserve, allClosed)
	f.log.Info("stopped", "kind", "stop", "open", f.conns.len(), "running", f.conns.numInFlight(), "took", time.Since(start))
	f.abort()
}

// closeListeners ends the acceptance of new connections.
func (f *Front) closeListeners() {
	_ = f.ln.Close() // an error has no consequence: the host is stopping
	if f.peerLn != nil {
		_ = f.peerLn.Close()
	}
}

// wait returns after d, when ctx is done, or when done reports true.
func (f *Front) wait(ctx context.Context, d time.Duration, done func() bool) {
	end := time.NewTimer(d)
	defer end.Stop()
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-poll.C:
		}
	}
}

// Kill shuts the host down immediately, as a crash would. Requests in progress
// are not answered.
func (f *Front) Kill() { f.abort() }

func (f *Front) abort() {
	f.cancel()
	f.closeListeners()
	f.conns.closeAll()
	f.wg.Wait()
	f.pool.Close()
	f.peerPool.Close()
	f.dialer.Close()
}

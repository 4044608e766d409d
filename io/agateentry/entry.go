// Package agateentry runs an entry process. It answers lookups, forwards the
// requests of callers to upstreams, receives the announcements of upstreams
// and exchanges its state with other entry hosts.
//
// An entry host has no durable state. At start it reads the newest
// configuration from a majority of the control group, and it answers callers
// only after that. Each component runs in its own goroutine and owns its
// state: the router, which owns the upstream table, one state exchange for
// each peer, the lookup view and the heartbeat to the control leader.
//
// # Usage
//
//	e, err := agateentry.Start(agateentry.Config{Settings: settings, Log: log})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	err = e.Stop(stopCtx) // planned stop: requests in progress are completed
package agateentry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"agategate/core/agateaction"
	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateserve"
	"agategate/io/agateclient"
	"agategate/io/agatelink"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agatesettings"
	"agategate/io/agateupstream"
	"agategate/io/agatewire"
)

const (
	// usageInterval is how often the router publishes capacity and demand.
	usageInterval = 100 * time.Millisecond
	// stopReserve is the part of a planned stop's time in which the last replies are
	// written.
	stopReserve = 150 * time.Millisecond
)

// Config sets up an Entry.
type Config struct {
	Settings agatesettings.Entry
	// Log receives routing decisions and all other log lines. The default is
	// a new log of level "error".
	Log *agatelog.Log
	// Metrics is the set to record in. The default is a new set.
	Metrics *agatemetrics.Set
	// ServerTLS and ClientTLS secure the connections between agategate
	// processes. Nil means plain text.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Dial opens connections to other agategate processes. The default sets
	// socket options that detect dead connections early.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// UpstreamAddr translates the address that an upstream announces to the one at
	// which this host reaches it. If it is nil, they are the same.
	UpstreamAddr func(netip.AddrPort) netip.AddrPort
}

// Entry is one running entry process. It is safe for concurrent use.
type Entry struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics
	epoch   uint64

	inventory atomic.Pointer[agateinventory.Inventory]
	config    atomic.Pointer[activeConfig]
	installMu sync.Mutex
	ready     atomic.Bool
	// peerTableReceived is set once a peer has sent its full upstream table.
	peerTableReceived atomic.Bool
	draining          atomic.Bool
	// stopEnd is when a stopping host must have answered its calls, if that is known,
	// and ending is done then.
	stopEnd   atomic.Pointer[time.Time]
	ending    context.Context
	endCalls  context.CancelFunc
	seenIndex agateaction.IndexTracker
	account   *agatebuffer.Account
	// lastControlReply is the agateclock time at which the control leader last
	// answered a heartbeat.
	lastControlReply atomic.Int64
	latestUsage      atomic.Pointer[[]agateroute.Usage]
	hedgeDelays      hedgeDelays
	states           stateMap

	router     *router
	pool       *agateupstream.Pool
	dialer     *agatelink.Dialer
	control    *agateclient.Client
	directory  *directory
	exchange   *exchange
	heartbeats *heartbeater
	suspects   *suspects
	shift      *shift
	lookup     *lookup
	detours    *detours

	caller *agateserve.Server
	admin  *agateserve.Server
	grpc   *grpc.Server

	// activeCalls counts the requests of callers in progress. activeActions
	// counts the actions that have not ended, including those whose caller has
	// been answered but whose answer is not recorded yet.
	activeCalls   sync.WaitGroup
	activeActions sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup
}

// Start opens the listeners and starts the background goroutines. The host
// answers callers once Ready reports true.
func Start(cfg Config) (*Entry, error) {
	if cfg.Log == nil {
		cfg.Log = agatelog.New(agatelog.Config{Name: cfg.Settings.Name, Level: "error"})
	}
	if cfg.Metrics == nil {
		cfg.Metrics = agatemetrics.New(agatemetrics.Config{})
	}
	if cfg.UpstreamAddr == nil {
		cfg.UpstreamAddr = func(addr netip.AddrPort) netip.AddrPort { return addr }
	}
	e := &Entry{
		cfg:       cfg,
		log:       cfg.Log.Logger(),
		metrics:   &metrics{set: cfg.Metrics},
		epoch:     newEpoch(),
		directory: newDirectory(),
	}
	e.account = agatebuffer.New(agatebuffer.Config{
		Bytes:   int64(agatebuffer.EntryShare * float64(cfg.Settings.Limit.Memory)),
		Holders: cfg.Settings.Limit.Connections,
	})
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.ending, e.endCalls = context.WithCancel(e.ctx)
	e.inventory.Store(&agateinventory.Inventory{})
	e.config.Store(&activeConfig{})
	e.pool = agateupstream.New(agateupstream.Config{
		Account:        e.account,
		MaxBodyBytes:   int64(cfg.Settings.Limit.Reply),
		ConnectTimeout: cfg.Settings.Wait.Connect,
	})
	e.dialer = agatelink.NewDialer(agatelink.Config{TLS: cfg.ClientTLS, Dial: cfg.Dial})
	e.control = agateclient.New(agateclient.Config{
		Replicas: cfg.Settings.Replicas,
		Dialer:   e.dialer,
		Sender:   e.identity,
	})
	e.detours = newDetours(cfg.Settings.Region, cfg.Settings.Domain)
	e.suspects = newSuspects(e)
	e.shift = newShift(e)
	e.lookup = newLookup(e)
	e.exchange = newExchange(e.ctx, e)
	e.heartbeats = newHeartbeater(e)
	e.router = newRouter(agateroute.New(agateroute.Config{
		Host:          cfg.Settings.Name,
		Region:        cfg.Settings.Region,
		Domain:        cfg.Settings.Domain,
		QueueLimit:    cfg.Settings.Limit.Queue,
		AllowOverflow: e.shift.allow,
	}), e.routeEvent)
	if err := e.listen(); err != nil {
		e.abort()
		return nil, err
	}
	e.registerMetrics()
	e.workers.Go(func() { e.becomeReady(e.ctx) })
	e.workers.Go(func() { e.heartbeats.run(e.ctx) })
	e.workers.Go(func() { e.publishUsageLoop(e.ctx) })
	e.workers.Go(func() { e.lookup.run(e.ctx) })
	return e, nil
}

func newEpoch() uint64 {
	// The upper bits are the start time in milliseconds, so that a later start
	// has a higher epoch. The lower 20 bits are random, so that two starts in
	// one millisecond differ.
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	low := binary.LittleEndian.Uint64(b[:]) & (1<<20 - 1)
	return uint64(time.Now().UnixMilli())<<20 | low
}

// identity returns the sender of this host's messages to other agategate
// processes.
func (e *Entry) identity() *agatewire.Sender {
	return &agatewire.Sender{
		Host:     e.cfg.Settings.Name,
		Epoch:    e.epoch,
		Revision: e.config.Load().revision,
	}
}

// listen opens the listeners for agategate processes, callers and operators.
func (e *Entry) listen() error {
	ln, err := agatelink.Listen(e.cfg.Settings.PeerAddr, 0)
	if err != nil {
		return fmt.Errorf("agateentry: %w", err)
	}
	e.grpc = agatelink.NewServer(agatelink.ServerConfig{TLS: e.cfg.ServerTLS, Account: e.account})
	agatewire.RegisterPeerServer(e.grpc, &peerService{e: e})
	go func() { _ = e.grpc.Serve(ln) }() // ends with Stop
	e.caller, err = agateserve.Start(agateserve.Config{
		Address:        e.cfg.Settings.CallerAddr,
		Handler:        e.callerRoutes(),
		Account:        e.account,
		MaxConns:       e.cfg.Settings.Limit.Connections,
		MaxHeaderBytes: e.cfg.Settings.Limit.Header,
		HeaderTimeout:  e.cfg.Settings.Wait.Header,
		ReadTimeout:    e.cfg.Settings.Wait.Body,
		IdleTimeout:    e.cfg.Settings.Wait.Idle,
		Logger:         e.log.Named("callers"),
	})
	if err != nil {
		return fmt.Errorf("agateentry: %w", err)
	}
	e.admin, err = agateserve.Start(agateserve.Config{
		Address:  e.cfg.Settings.Admin,
		Handler:  e.adminRoutes(),
		Account:  e.account,
		MaxConns: maxAdminConns,
	})
	if err != nil {
		return fmt.Errorf("agateentry: %w", err)
	}
	return nil
}

// publishUsageLoop has the router publish its usage periodically.
func (e *Entry) publishUsageLoop(ctx context.Context) {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.router.post(e.publishUsage)
		}
	}
}

// Ready reports whether the host knows the newest configuration, answers
// callers and is not stopping.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// unavailable is the opposite of Ready: it reports whether lookups must not
// name this host.
func (e *Entry) unavailable() bool { return e.draining.Load() || !e.ready.Load() }

// Revision returns the configuration revision in force, or 0.
func (e *Entry) Revision() uint64 { return e.config.Load().revision }

// Stop performs a planned stop. Lookups stop naming the host at once. The host
// serves until the lookup answers that callers have cached have expired and
// the last request is complete. If ctx ends first, the remaining requests are
// aborted and an error is returned. Calls that arrive or are passed on meanwhile get no
// more time than until 150 ms before the deadline of ctx, and those still in progress then
// get the answer that their outcome is unknown.
func (e *Entry) Stop(ctx context.Context) error {
	start := time.Now()
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-stopReserve)
		e.stopEnd.Store(&end)
		defer time.AfterFunc(time.Until(end), e.endCalls).Stop()
	}
	e.draining.Store(true)
	e.log.Info("planned stop", "kind", "drain", "choice", e.cfg.Settings.Name, "reason", "stop")
	e.exchange.triggerAll()
	e.heartbeats.trigger()
	e.lookup.trigger()
	e.exchange.awaitAcked(ctx, start)
	select {
	case <-ctx.Done():
	case <-time.After(e.lookup.maxLifetime()):
	}
	err := e.caller.Shutdown(ctx)
	finished := make(chan struct{})
	go func() {
		e.activeCalls.Wait()
		e.activeActions.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		err = fmt.Errorf("agateentry: planned stop timed out with requests in progress: %w", ctx.Err())
	}
	e.metrics.drained("host", time.Since(start))
	e.log.Info("stopped", "kind", "drain", "choice", e.cfg.Settings.Name, "took", time.Since(start))
	e.abort()
	return err
}

// beforeStop returns the deadline of work that begins now: the given one or, if it is
// earlier, the end of a planned stop.
func (e *Entry) beforeStop(deadline time.Time) time.Time {
	if end := e.stopEnd.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// Kill stops the host at once, as a crash would. Tests use it.
func (e *Entry) Kill() { e.abort() }

func (e *Entry) abort() {
	e.cancel()
	if e.caller != nil {
		_ = e.caller.Close()
	}
	if e.admin != nil {
		_ = e.admin.Close()
	}
	if e.grpc != nil {
		e.grpc.Stop()
	}
	e.workers.Wait()
	e.exchange.workers.Wait()
	e.router.close()
	e.pool.Close()
	e.dialer.Close()
}

// Upstreams returns the number of upstreams in this host's table.
func (e *Entry) Upstreams() int {
	n := 0
	e.router.do(func(now time.Time) { n = len(e.router.table.Export(now, 0).Announcements) })
	return n
}

// Package agateentry runs an entry process: it answers look-ups, takes
// requests of callers, steers them to upstreams, takes upstreams'
// announcements and shares what it knows with other entry hosts.
//
// An entry host has no durable state. At start it learns the newest
// configuration from a majority of the control group and only then answers.
// Each duty runs in its own goroutine and owns its state: the router owns the
// upstream table, one exchange for each peer, and the heartbeat to the
// control leader.
//
// # Usage
//
//	e, err := agateentry.Start(agateentry.Config{Settings: settings, Log: log})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	err = e.Stop(stopCtx) // a planned stop: no request in progress is cut
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
	"agategate/internal/agateserve"
	"agategate/io/agateclient"
	"agategate/io/agatelink"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agatesettings"
	"agategate/io/agateupstream"
	"agategate/io/agatewire"
)

// observeEvery is how often the routing duty publishes its view of capacity.
const observeEvery = 100 * time.Millisecond

// Config sets up an Entry.
type Config struct {
	Settings agatesettings.Entry
	// Log takes decisions and all other lines.
	Log *agatelog.Log
	// Metrics may be nil.
	Metrics *agatemetrics.Set
	// ServerTLS and ClientTLS are for connections between own processes. Nil
	// means plain text.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Dial opens connections to own processes. The default sets socket
	// options that find silent connections early.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Entry is one running entry process. It is safe for concurrent use.
type Entry struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics
	epoch   uint64

	inventory  atomic.Pointer[agateinventory.Inventory]
	config     atomic.Pointer[configured]
	installing sync.Mutex
	ready      atomic.Bool
	// informed says that a peer has sent its whole upstream table.
	informed atomic.Bool
	draining atomic.Bool
	seen     agateaction.IndexTracker
	bodies   atomic.Int64
	// heard is when the control leader last answered a heartbeat, by
	// agateclock.
	heard  atomic.Int64
	used   atomic.Pointer[[]agateroute.Usage]
	hedges hedgeTimes
	states stateMap

	router    *router
	pool      *agateupstream.Pool
	dialer    *agatelink.Dialer
	control   *agateclient.Client
	directory *directory
	exchange  *exchange
	beats     *beats
	suspects  *suspects
	shift     *shift
	lookup    *lookup

	caller *agateserve.Server
	admin  *agateserve.Server
	grpc   *grpc.Server

	// active counts callers' requests in progress, records the answers that
	// are still to be recorded.
	active  sync.WaitGroup
	records sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	duties  sync.WaitGroup
}

// Start opens the listeners and starts the duties. The host answers callers
// once Ready reports true.
func Start(cfg Config) (*Entry, error) {
	if cfg.Log == nil {
		cfg.Log = agatelog.New(agatelog.Config{Name: cfg.Settings.Name, Level: "error"})
	}
	if cfg.Metrics == nil {
		cfg.Metrics = agatemetrics.New(agatemetrics.Config{})
	}
	e := &Entry{
		cfg:       cfg,
		log:       cfg.Log.Logger(),
		metrics:   &metrics{set: cfg.Metrics},
		epoch:     newEpoch(),
		directory: newDirectory(),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.inventory.Store(&agateinventory.Inventory{})
	e.config.Store(&configured{})
	e.pool = agateupstream.New(agateupstream.Config{
		MaxBodyBytes: int64(cfg.Settings.Limit.Reply),
		DialTimeout:  cfg.Settings.Wait.Connect,
	})
	e.dialer = agatelink.NewDialer(agatelink.Config{TLS: cfg.ClientTLS, Dial: cfg.Dial})
	e.control = agateclient.New(agateclient.Config{
		Replicas: cfg.Settings.Replicas,
		Dialer:   e.dialer,
		Sender:   e.identity,
	})
	e.suspects = newSuspects(e)
	e.shift = newShift(e)
	e.lookup = newLookup(e)
	e.exchange = newExchange(e.ctx, e)
	e.beats = newBeats(e)
	e.router = newRouter(agateroute.New(agateroute.Config{
		Host:          cfg.Settings.Name,
		Region:        cfg.Settings.Region,
		Domain:        cfg.Settings.Domain,
		QueueLimit:    cfg.Settings.Limit.Queue,
		AllowOverflow: e.shift.take,
	}), e.routeEvent)
	if err := e.listen(); err != nil {
		e.abort()
		return nil, err
	}
	e.publish()
	e.duties.Go(func() { e.becomeReady(e.ctx) })
	e.duties.Go(func() { e.beats.run(e.ctx) })
	e.duties.Go(func() { e.observe(e.ctx) })
	e.duties.Go(func() { e.lookup.run(e.ctx) })
	return e, nil
}

func newEpoch() uint64 {
	// Later starts have higher epochs even if the clock stands still for a
	// moment, as the low bits are random.
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	low := binary.LittleEndian.Uint64(b[:]) & (1<<20 - 1)
	return uint64(time.Now().UnixMilli())<<20 | low
}

// identity is carried by every message to own processes.
func (e *Entry) identity() *agatewire.Sender {
	return &agatewire.Sender{
		Host:     e.cfg.Settings.Name,
		Epoch:    e.epoch,
		Revision: e.config.Load().revision,
	}
}

// listen opens the listeners for own processes, callers and operators.
func (e *Entry) listen() error {
	ln, err := agatelink.Listen(e.cfg.Settings.Peer)
	if err != nil {
		return fmt.Errorf("agateentry: %w", err)
	}
	e.grpc = agatelink.NewServer(e.cfg.ServerTLS)
	agatewire.RegisterPeerServer(e.grpc, &peerService{e: e})
	go func() { _ = e.grpc.Serve(ln) }() // ends with Stop
	e.caller, err = agateserve.Start(agateserve.Config{
		Address:        e.cfg.Settings.Caller,
		Handler:        e.callerRoutes(),
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
		MaxConns: adminConns,
	})
	if err != nil {
		return fmt.Errorf("agateentry: %w", err)
	}
	return nil
}

// observe makes the routing duty publish its view.
func (e *Entry) observe(ctx context.Context) {
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.router.post(e.observeTable)
		}
	}
}

// Ready reports whether the host knows the newest configuration and answers
// callers.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// absent reports whether look-ups must not name this host: it stops, or it
// does not answer callers yet.
func (e *Entry) absent() bool { return e.draining.Load() || !e.ready.Load() }

// Revision returns the configuration revision in force, or 0.
func (e *Entry) Revision() uint64 { return e.config.Load().revision }

// Stop ends the process as planned. Look-ups stop naming the host at once; it
// serves until the answers that callers have cached have run out and the last
// request is done. When ctx ends first, the remaining requests are cut and an
// error says so.
func (e *Entry) Stop(ctx context.Context) error {
	begun := time.Now()
	e.draining.Store(true)
	e.log.Info("planned stop", "kind", "drain", "choice", e.cfg.Settings.Name, "reason", "stop")
	e.exchange.kick()
	e.beats.kick()
	e.lookup.kick()
	e.exchange.awaitTold(ctx, begun)
	select {
	case <-ctx.Done():
	case <-time.After(e.lookup.longest()):
	}
	err := e.caller.Shutdown(ctx)
	finished := make(chan struct{})
	go func() {
		e.active.Wait()
		e.records.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		err = fmt.Errorf("agateentry: planned stop ran out of time: %w", ctx.Err())
	}
	e.metrics.drained("host", time.Since(begun))
	e.log.Info("stopped", "kind", "drain", "choice", e.cfg.Settings.Name, "took", time.Since(begun))
	e.abort()
	return err
}

// Kill ends the process's work at once, as a crash would. Tests use it.
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
	e.duties.Wait()
	e.exchange.done.Wait()
	e.router.close()
	e.pool.Close()
	e.dialer.Close()
}

// Upstreams returns the number of upstreams that this host knows.
func (e *Entry) Upstreams() int {
	n := 0
	e.router.do(func(now time.Time) { n = len(e.router.table.Export(now, 0).Announcements) })
	return n
}

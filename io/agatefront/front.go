// Package agatefront is the entry host for deployments with routing plans: it
// takes callers' requests, finds their route and upstream, and passes on the
// answers. It learns upstreams, evacuations, plans and other entry hosts from
// the control group and has no durable state.
//
// Three duties share the work: one goroutine for each control replica that is
// watched, one reader and one writer for each caller's connection, and one
// goroutine for each request in progress. A mutex guards the table of
// upstreams, whose calls take microseconds.
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
//	f.Stop(stopping) // ends the running requests first
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
	"agategate/core/agateplan"
	"agategate/io/agatelink"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
)

// Words are the names of the headers between callers, entry hosts and
// upstreams. The zero value of each field means the product's own name.
type Words struct {
	Request  string // the request's id
	Deadline string // milliseconds left
	Object   string // the object that the request is about
	Expect   string // identity of the only upstream that may run the request
	Stamp    string // proof of an upstream on its answers; none by default
	Load     string // "running,waiting,slots" of the upstream that answers
	// NotRun reports whether an answer states that the request was not run.
	NotRun func(status int, h http.Header) bool
}

func (w Words) withDefaults() Words {
	set := func(s *string, name string) {
		if *s == "" {
			*s = name
		}
	}
	set(&w.Request, "Agate-Request")
	set(&w.Deadline, "Agate-Deadline-Ms")
	set(&w.Object, "Agate-Object")
	set(&w.Expect, "Agate-Expect")
	set(&w.Load, "Agate-Load")
	return w
}

// Config sets up a Front. Name, Region, Domain, Listen and Seeds are required.
type Config struct {
	Name   string
	Region string
	Domain string
	// Regions has the region of each failure domain.
	Regions map[string]string
	// Listen is the address for callers.
	Listen netip.AddrPort
	// Seeds returns addresses for own processes of control replicas. The
	// others are learned from them.
	Seeds func() []netip.AddrPort
	Words Words
	// Balance holds bounds of the deployment; names and places are set from
	// this Config.
	Balance agatebalance.Config
	// Connections bounds the open connections of callers. The default is
	// 2,000.
	Connections int
	// BodyMemory bounds the bodies of requests in progress, in bytes. The
	// default is 64 MiB.
	BodyMemory int64
	// Admin is the address of Handler, if it is served. Control replicas ask
	// there for the decisions on a request.
	Admin netip.AddrPort
	// Log receives lines and keeps decisions. The default writes nothing.
	Log *agatelog.Log
	// Metrics may be nil.
	Metrics *agatemetrics.Set
}

const (
	defaultConnections = 2000
	defaultBodyMemory  = 64 << 20
	// idleUpstream is how long a connection to an upstream is kept idle when
	// the upstream names no time of its own.
	idleUpstream = 8 * time.Second
	// actionLife is how recently a connection must have shown life to carry a
	// request that runs at most once. A longer time saves new connections, and
	// risks an unknown outcome when the upstream closes it first.
	actionLife = 5 * time.Second
	// defaultShare is the number of connections to an upstream while the number
	// of hosts is not known.
	defaultShare = 32
)

// Front is a running entry host. It is safe for concurrent use.
type Front struct {
	cfg    Config
	log    hclog.Logger
	epoch  uint64
	words  Words
	pool   *agateupstream.Pool
	dialer *agatelink.Dialer
	ln     net.Listener

	mu    sync.Mutex // guards table
	table *agatebalance.Table

	plan     atomic.Pointer[agateplan.Index]
	link     link
	suspects *suspects
	counts   counts
	bodies   atomic.Int64
	routine  limit // of log lines
	others   limit
	stopping atomic.Bool
	drain    chan struct{} // closed when a planned stop begins

	conns  conns
	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// Start listens for callers and begins to watch the control group.
func Start(cfg Config) (*Front, error) {
	if cfg.Log == nil {
		cfg.Log = agatelog.New(agatelog.Config{Output: io.Discard})
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.BodyMemory <= 0 {
		cfg.BodyMemory = defaultBodyMemory
	}
	cfg.Balance.Host, cfg.Balance.Region, cfg.Balance.Domain = cfg.Name, cfg.Region, cfg.Domain
	cfg.Balance.Regions = cfg.Regions
	f := &Front{
		cfg:   cfg,
		log:   cfg.Log.Logger(),
		epoch: newEpoch(),
		words: cfg.Words.withDefaults(),
		table: agatebalance.New(cfg.Balance),
		drain: make(chan struct{}),
	}
	f.suspects = newSuspects()
	f.counts = newCounts(f)
	f.pool = agateupstream.New(agateupstream.Config{
		IdleTimeout:         idleUpstream,
		ActionIdleTimeout:   actionLife,
		MaxConns:            defaultShare,
		DeadlineHeader:      f.words.Deadline,
		RequestHeader:       f.words.Request,
		NotExecuted:         f.words.NotRun,
		AllowCloseDelimited: true,
	})
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		f.pool.Close()
		return nil, fmt.Errorf("agatefront: %w", err)
	}
	f.ln = ln
	f.dialer = agatelink.NewDialer(agatelink.Config{})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.link.f = f
	f.duties.Go(f.link.run)
	f.duties.Go(f.accept)
	f.log.Info("started", "kind", "start", "region", cfg.Region, "domain", cfg.Domain, "listen", cfg.Listen)
	return f, nil
}

func newEpoch() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Ready reports whether callers may be sent here: the plan and the fleet are
// known and no stop has begun.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.plan.Load() != nil && f.link.informed()
}

const (
	// stopNamed is how long a stopping host goes on to accept connections:
	// callers keep the directory's answers for some seconds, and connections
	// that they open meanwhile must not be refused.
	stopNamed = 2500 * time.Millisecond
	// stopPoll is how often a stopping host looks whether all work is done.
	stopPoll = 20 * time.Millisecond
	// stopReserve is kept of the time of a planned stop for the last answers
	// to leave.
	stopReserve = 300 * time.Millisecond
)

// Stop ends a host as planned: it tells the control group, accepts
// connections for a while longer, answers every request that it has read, and
// closes connections behind their last answers. It ends at the latest when
// ctx does.
func (f *Front) Stop(ctx context.Context) {
	begun := time.Now()
	if f.stopping.Swap(true) {
		return
	}
	close(f.drain)
	f.log.Info("stopping", "kind", "stop", "open", f.conns.len(), "running", f.conns.busy())
	f.wait(ctx, stopNamed, func() bool { return false })
	_ = f.ln.Close() // no new callers
	left := stopReserve
	if end, ok := ctx.Deadline(); ok {
		left = max(0, time.Until(end)-stopReserve)
	}
	f.wait(ctx, left, func() bool { return f.conns.busy() == 0 && f.conns.closeIdle() == 0 })
	f.log.Info("stopped", "kind", "stop", "open", f.conns.len(), "running", f.conns.busy(), "took", time.Since(begun))
	f.abort()
}

// wait returns after d, at the end of ctx or when done reports true.
func (f *Front) wait(ctx context.Context, d time.Duration, done func() bool) {
	end := time.NewTimer(d)
	defer end.Stop()
	poll := time.NewTicker(stopPoll)
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

// Kill ends the host at once, as a crash would.
func (f *Front) Kill() { f.abort() }

func (f *Front) abort() {
	f.cancel()
	_ = f.ln.Close()
	f.conns.closeAll()
	f.duties.Wait()
	f.pool.Close()
	f.dialer.Close()
}

// Package agatecontrol runs one replica of the control group. It keeps the
// durable state and serves entry hosts over gRPC and operators over HTTP.
//
// A replica with an empty data directory belongs to no group yet. It queries
// the initial members: if a group exists, it joins as a learner and replaces
// the replica that had its address; if all initial members answer that no group
// exists, the first of them starts one.
//
// The group agrees on a configuration, a numbered revision that holds either an
// inventory or a routing plan. Every replica serves watch streams, plans for
// entry hosts, the list of entry hosts, announcements of upstreams and
// evacuations; it forwards the changes among them to the leader. Other reads and
// changes of the group's state are served by the leader, to which the other
// replicas refer.
//
// # Usage
//
//	c, err := agatecontrol.Start(agatecontrol.Config{Settings: settings, Logger: logger})
//	if err != nil {
//		return err
//	}
//	defer c.Stop(ctx)
package agatecontrol

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
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"agategate/core/agateheal"
	"agategate/core/agateplan"
	"agategate/core/agatequorum"
	"agategate/core/agatequota"
	"agategate/core/agatestate"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateserve"
	"agategate/io/agatelink"
	"agategate/io/agatemetrics"
	"agategate/io/agateops"
	"agategate/io/agatereplica"
	"agategate/io/agatesettings"
	"agategate/io/agatestore"
	"agategate/io/agatewire"
)

const (
	// callTimeout bounds one proposal by Submit and one run of a periodic task.
	callTimeout = 3 * time.Second
	// expireInterval is how often the leader expires records that are due.
	expireInterval = time.Second
	// leaderCheckInterval is how often a replica checks whether it gained or
	// lost its leader, which is reported to watching hosts at once.
	leaderCheckInterval = 50 * time.Millisecond
	// sweepInterval is how often the leases of entry hosts are checked and the
	// metrics published.
	sweepInterval = 250 * time.Millisecond
)

// Config sets up a Control.
type Config struct {
	Settings agatesettings.Control
	Logger   hclog.Logger
	// ServerTLS and ClientTLS secure the connections between agategate
	// processes. Nil means plain text.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// AdminTLS secures the operators' interface. Nil means plain text.
	AdminTLS *tls.Config
	// Metrics may be nil.
	Metrics *agatemetrics.Set
	// Account is charged for the requests and messages that arrive. The default is one
	// for Settings.Limit.Memory.
	Account *agatebuffer.Account
	// MaxPeerConns limits the open connections of other processes. The default is that of
	// agatelink.
	MaxPeerConns int
	// Dial opens connections to other processes. The default sets socket
	// options that detect dead connections early.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Seeds returns the replicas to query for an existing group. The result may
	// change while the process runs. The default is Settings.Members.
	Seeds func() []agatesettings.Member
	// Heartbeat is the interval of the Raft heartbeats. The default is that of
	// agatequorum.
	Heartbeat time.Duration
	// Quota is by how much the requests of a workspace may exceed its limit. The
	// default is a tenth in windows of 5 s.
	Quota agatequota.Tolerance
	// Stagger spaces the election timeouts; see agatequorum.Config.
	Stagger time.Duration
	// Heal lets the leader replace unresponsive voters without an operator and
	// expire upstreams that stop sending heartbeats, and lets removed replicas ask
	// to join again. Without it, fresh replicas still ask to join, learners are
	// promoted, and members whose address another member now uses are removed.
	Heal bool
}

// Control is one running control process. It is safe for concurrent use.
type Control struct {
	cfg Config
	log hclog.Logger
	// epoch is a random number that identifies this run of the process, id the
	// identity of the replica in the group.
	epoch uint64
	id    uint64

	store          *agatestore.Store
	machine        *agatestate.Machine
	replica        atomic.Pointer[agatereplica.Replica]
	dialer         *agatelink.Dialer
	sender         *agatelink.Sender
	server         *grpc.Server
	sessions       *sessions
	presence       presence
	upstreamLimits upstreamLimits
	upstreamLoads  upstreamLoads
	plans          planCache
	decoding       chan struct{} // semaphore: one read decodes the plan at a time, to bound memory
	quotas         quotaBank
	updates        broadcast
	healer         *agateheal.Healer
	contacts       contactTimes
	refusals       refusals
	// unnamed bounds the changes of upstreams whose service the plan does not name.
	unnamed    *rate.Limiter
	clock      stateTime
	applied    appliedTimes
	grantState grantState
	// hasLeader is whether the replica knew a leader at the last check.
	hasLeader atomic.Bool
	// leaderless is used only by the task that reports that no leader is known.
	leaderless leaderless
	// propagation is used only by the task that publishes the metrics.
	propagation propagationTime
	metrics     *metrics
	admin       *agateserve.Server
	// peerAddresses maps the identities of replicas that sent a message to
	// their addresses (netip.AddrPort).
	peerAddresses sync.Map
	fault         atomic.Pointer[error]
	// fresh is set while the replica belongs to no group.
	fresh atomic.Bool

	// revisionApplied receives an item when a new revision was applied locally.
	revisionApplied chan struct{}
	// claimed receives an item when there may be a new claim against a member.
	claimed chan struct{}
	// failed is closed when the replica stops because of an error.
	failed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start opens the data directory and starts the replica, its listeners and its
// background tasks. A fresh replica serves operators and entry hosts only once
// it belongs to a group.
func Start(cfg Config) (*Control, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = agatemetrics.New(agatemetrics.Config{})
	}
	if cfg.Quota == (agatequota.Tolerance{}) {
		cfg.Quota = defaultQuotaTolerance
	}
	if cfg.Account == nil {
		cfg.Account = agatebuffer.New(agatebuffer.Config{Bytes: int64(agatebuffer.ControlShare * float64(cfg.Settings.Limit.Memory))})
	}
	c := &Control{
		cfg:             cfg,
		log:             cfg.Logger,
		epoch:           newEpoch(),
		sessions:        newSessions(),
		metrics:         &metrics{set: cfg.Metrics},
		revisionApplied: make(chan struct{}, 1),
		decoding:        make(chan struct{}, 1),
		claimed:         make(chan struct{}, 1),
		failed:          make(chan struct{}),
		unnamed:         rate.NewLimiter(unnamedRate, unnamedBurst),
	}
	healConfig := agateheal.Config{}
	if cfg.Heal {
		healConfig.Voters = targetVoters
	}
	c.healer = agateheal.New(healConfig)
	cfg.Metrics.Declare("control")
	cfg.Metrics.Func(agatemetrics.BufferedBytes, func() any {
		bytes, _ := cfg.Account.Usage()
		return bytes
	})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	store, saved, err := agatestore.Open(agatestore.Config{Dir: cfg.Settings.Data, Logger: cfg.Logger})
	if err != nil {
		return nil, fmt.Errorf("agatecontrol: %w", err)
	}
	if cfg.Seeds == nil {
		c.cfg.Seeds = func() []agatesettings.Member { return cfg.Settings.Members }
	}
	c.store = store
	c.id = saved.Identity
	c.machine = agatestate.New(agatestate.Config{UsesOrdinals: agateplan.UsesOrdinals, Services: agateplan.NamedServices})
	c.dialer = agatelink.NewDialer(agatelink.Config{TLS: cfg.ClientTLS, Dial: cfg.Dial})
	c.sender = agatelink.NewSender(agatelink.SenderConfig{Dialer: c.dialer, QueueBytes: cfg.Settings.Limit.LogBytes()})
	c.fresh.Store(saved.Fresh)
	if err := c.listen(); err != nil {
		c.shutdown()
		return nil, err
	}
	c.tasks.Go(func() { c.run(saved) })
	return c, nil
}

func newEpoch() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// limits returns the bounds on action records from this replica's settings.
func (c *Control) limits() agatestate.Limits {
	s := &c.cfg.Settings
	return agatestate.Limits{
		Retention:      s.Retention,
		MaxRecords:     s.Record.Count,
		MaxBytes:       s.Record.Bytes,
		MaxAnswerBytes: s.Record.Answer,
	}
}

// listen opens the gRPC listener, on which a fresh replica reports to others
// that it belongs to no group, and the operators' interface.
func (c *Control) listen() error {
	ln, err := agatelink.Listen(c.cfg.Settings.PeerAddr, c.cfg.MaxPeerConns)
	if err != nil {
		return fmt.Errorf("agatecontrol: %w", err)
	}
	c.server = agatelink.NewServer(agatelink.ServerConfig{TLS: c.cfg.ServerTLS, Account: c.cfg.Account})
	agatewire.RegisterQuorumServer(c.server, &quorumService{c: c})
	agatewire.RegisterControlServer(c.server, &controlService{c: c})
	go func() { _ = c.server.Serve(ln) }() // ends with Stop
	c.admin, err = agateserve.Start(agateserve.Config{
		Address:        c.cfg.Settings.Admin,
		Handler:        agateops.New(c.ops()),
		Account:        c.cfg.Account,
		TLS:            c.cfg.AdminTLS,
		MaxConns:       c.cfg.Settings.Limit.Connections,
		MaxHeaderBytes: c.cfg.Settings.Limit.Header,
		HeaderTimeout:  c.cfg.Settings.Wait.Header,
		ReadTimeout:    c.cfg.Settings.Wait.Body,
		IdleTimeout:    c.cfg.Settings.Wait.Idle,
		Logger:         c.log.Named("operators"),
	})
	if err != nil {
		return fmt.Errorf("agatecontrol: %w", err)
	}
	return nil
}

// run finds the replica's group, opens the replica and starts the background
// tasks.
func (c *Control) run(saved agatestore.State) {
	bootstrap, ok := c.findGroup(saved.Fresh)
	if !ok {
		return
	}
	r, err := agatereplica.Open(c.replicaConfig(saved, bootstrap))
	if err != nil {
		c.fault.Store(&err)
		close(c.failed)
		return
	}
	c.replica.Store(r)
	c.tasks.Go(func() { c.watchReplica(r) })
	c.fresh.Store(saved.Fresh && len(bootstrap) == 0)
	c.tasks.Go(c.notifyRevisions)
	c.tasks.Go(c.vouchForMembers)
	c.tasks.Go(func() { c.every(expireInterval, c.expire) })
	c.tasks.Go(func() { c.every(repairInterval, c.repair) })
	c.tasks.Go(func() { c.every(sweepInterval, c.sweep) })
	c.tasks.Go(func() { c.every(leaderCheckInterval, c.checkLeader) })
	c.tasks.Go(func() { c.every(leaderlessCheckInterval, c.reportLeaderless) })
	c.tasks.Go(func() { c.every(sweepInterval, c.prepareQuotas) })
	if c.cfg.Heal {
		c.tasks.Go(func() { c.every(upstreamCheckInterval, c.checkUpstreams) })
	}
	if c.cfg.Heal || (saved.Fresh && len(bootstrap) == 0) {
		c.tasks.Go(func() { c.every(joinInterval, c.join) })
	}
}

func (c *Control) replicaConfig(saved agatestore.State, bootstrap agatequorum.Members) agatereplica.Config {
	return agatereplica.Config{
		ID:        saved.Identity,
		Bootstrap: bootstrap,
		Saved:     saved.PersistentState,
		Send:      c.send,
		Apply:     c.applyCommand,
		Snapshot:  c.machine.Snapshot,
		Restore:   c.machine.Restore,
		Append: func(hard agatequorum.HardState, entries []agatequorum.Entry) error {
			start := time.Now()
			err := c.store.Append(agatestore.Batch{HardState: hard, Entries: entries})
			c.metrics.set.Histogram(agatemetrics.AppendTime, "").Record(time.Since(start))
			return err
		},
		SaveSnapshot:  c.store.SaveSnapshot,
		SnapshotEvery: c.cfg.Settings.Snapshot,
		LogBytes:      c.cfg.Settings.Limit.LogBytes(),
		Heartbeat:     c.cfg.Heartbeat,
		Stagger:       c.cfg.Stagger,
		Logger:        c.log.Named("replica"),
	}
}

// applyCommand applies a committed command and signals a new revision or a
// change of the fleet.
func (c *Control) applyCommand(index uint64, data []byte) []byte {
	before, fleet := c.machine.Config().Revision, c.machine.FleetIndex()
	out := c.machine.Apply(index, data)
	if c.machine.Claims() > 0 {
		c.signalClaims()
	}
	after := c.machine.Config().Revision
	if after > before || c.machine.FleetIndex() > fleet {
		c.updates.notify()
	}
	if after > before {
		c.applied.record(after)
		select {
		case c.revisionApplied <- struct{}{}:
		default: // a notification is already pending
		}
	}
	return out
}

// watchReplica records the error when the replica stops by itself, as it does
// when the log conflicts with a committed entry or the state cannot be
// restored.
func (c *Control) watchReplica(r *agatereplica.Replica) {
	select {
	case <-c.ctx.Done():
		return
	case <-r.Done():
	}
	if err := r.Fault(); err != nil {
		c.fault.Store(&err)
		close(c.failed)
	}
}

// Failed returns a channel that is closed when the replica stops because of an
// error. Fault returns that error.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// Fault returns the error that stopped the replica, or nil.
func (c *Control) Fault() error {
	if err := c.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// every runs a task at an interval until the process stops.
func (c *Control) every(interval time.Duration, task func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
			ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
			task(ctx)
			cancel()
		}
	}
}

// sweep expires the leases of entry hosts and publishes the metrics.
func (c *Control) sweep(context.Context) {
	c.sessions.sweep(time.Now())
	c.publishMetrics()
}

// expire advances state time, so that due records expire even without traffic,
// and puts the leader's limits in force. Both are repeated every second.
func (c *Control) expire(ctx context.Context) {
	if !c.isLeader() {
		return
	}
	_, _ = c.propose(ctx, agatestate.Command{Expire: &agatestate.Expire{}})
	if want := c.limits(); c.machine.Limits() != want {
		_, _ = c.propose(ctx, agatestate.Command{Limits: &want})
	}
}

// isLeader reports whether this replica considers itself the leader, which may
// be outdated. Answers that depend on leadership must be confirmed by
// Replica.Read.
func (c *Control) isLeader() bool {
	r := c.replica.Load()
	return r != nil && r.Status().Role == agatequorum.Leader
}

// propose stamps a command with state time, proposes it and returns its result.
func (c *Control) propose(ctx context.Context, cmd agatestate.Command) (agatestate.Result, error) {
	r := c.replica.Load()
	if r == nil {
		return agatestate.Result{}, &agatereplica.NotLeaderError{}
	}
	out, err := r.Propose(ctx, c.encodeCommand(r, cmd))
	c.metrics.countProposal(err)
	if err != nil {
		return agatestate.Result{}, err
	}
	return agatestate.DecodeResult(out)
}

// encodeCommand encodes a command stamped with state time, so that only the
// leader's clock advances state time.
func (c *Control) encodeCommand(r *agatereplica.Replica, cmd agatestate.Command) []byte {
	cmd.Now = c.clock.now(r.Status().Term, c.machine.Now()).UnixMilli()
	return agatestate.Encode(cmd)
}

// send queues a Raft message for another replica.
func (c *Control) send(to uint64, m agatequorum.Message) {
	addr := c.addressOf(to)
	if !addr.IsValid() {
		return
	}
	m.Address = c.cfg.Settings.PeerAddr
	data, err := agatereplica.EncodeMessage(m)
	if err != nil {
		c.log.Error("quorum message cannot be encoded", "error", err)
		return
	}
	c.sender.Send(addr, &agatewire.Envelope{Sender: c.identity(), From: c.id, To: to, Message: data})
}

func (c *Control) identity() *agatewire.Sender {
	return &agatewire.Sender{
		Host:     c.cfg.Settings.Name,
		Epoch:    c.epoch,
		Revision: c.machine.Config().Revision,
	}
}

// Stop transfers the leadership, ends all background tasks and closes the data
// directory.
func (c *Control) Stop(ctx context.Context) error {
	var err error
	if r := c.replica.Load(); r != nil {
		err = r.Stop(ctx)
	}
	c.shutdown()
	return err
}

// Kill ends the process's work at once without a leadership transfer, as a
// crash would, but releases the lock of the data directory. Tests use it.
func (c *Control) Kill() {
	if r := c.replica.Load(); r != nil {
		_ = r.Close()
	}
	c.shutdown()
}

func (c *Control) shutdown() {
	c.cancel()
	if c.admin != nil {
		_ = c.admin.Close()
	}
	if c.server != nil {
		c.server.Stop()
	}
	c.tasks.Wait()
	c.sender.Close()
	c.dialer.Close()
	if err := c.store.Close(); err != nil {
		c.log.Error("closing the store failed", "error", err)
	}
}

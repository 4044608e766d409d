// Package agatecontrol runs one replica of the control group: it keeps the
// durable state, answers entry hosts over gRPC and operators over HTTP.
//
// A replica with an empty data directory belongs to no group. It asks the
// initial members: if a group exists it joins as a learner and replaces the
// replica that had its address; if all initial members answer that none
// exists, the first of them starts the group. Entry hosts and operators are
// answered by the leader; the others name it.
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
	"google.golang.org/grpc"

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
	"agategate/core/agatestate"
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
	// callTime bounds the work for one call of an entry host.
	callTime = 3 * time.Second
	// expireEvery is how often the leader lets due records expire.
	expireEvery = time.Second
	// syncEvery is how often a replica looks whether it has gained or lost its
	// leader, which watching hosts are told at once.
	syncEvery = 50 * time.Millisecond
	// sweepEvery is how often leases of entry hosts are checked.
	sweepEvery = 250 * time.Millisecond
)

// Config sets up a Control.
type Config struct {
	Settings agatesettings.Control
	Logger   hclog.Logger
	// ServerTLS and ClientTLS are for connections between own processes. Nil
	// means plain text.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// AdminTLS is for operators. Nil means plain text.
	AdminTLS *tls.Config
	// Metrics may be nil.
	Metrics *agatemetrics.Set
	// Dial opens connections to other processes. The default sets socket
	// options that find silent connections early.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Seeds returns the replicas to ask for the group; it may change while the
	// process runs. The default is Settings.Members.
	Seeds func() []agatesettings.Member
	// Heartbeat is the interval of the quorum's heartbeats. The default is that
	// of agatequorum.
	Heartbeat time.Duration
	// Stagger spaces the election timeouts; see agatequorum.Config.
	Stagger time.Duration
	// Heal lets the group admit replicas, remove dead ones and take back
	// removed ones without an operator.
	Heal bool
}

// Control is one running control process. It is safe for concurrent use.
type Control struct {
	cfg   Config
	log   hclog.Logger
	epoch uint64
	id    uint64

	store    *agatestore.Store
	machine  *agatestate.Machine
	replica  atomic.Pointer[agatereplica.Replica]
	dialer   *agatelink.Dialer
	sender   *agatelink.Sender
	server   *grpc.Server
	sessions *sessions
	presence presence
	packed   packedPlan
	changed  signal
	healer   *agateheal.Healer
	heardUp  heardTimes
	time     stateTime
	accepted acceptedTimes
	granter  granter
	// synced says that the replica knew a leader when it last looked.
	synced atomic.Bool
	// spreadTime is owned by the duty that publishes the metrics.
	spreadTime spreadTime
	metrics    *metrics
	admin      *agateserve.Server
	// callers holds the addresses (netip.AddrPort) of replicas that sent a
	// message, by identity.
	callers sync.Map
	fault   atomic.Pointer[error]
	// fresh says that the replica belongs to no group yet.
	fresh atomic.Bool

	// revised has an item when a new revision was applied here.
	revised chan struct{}
	// failed is closed when the replica stopped by itself.
	failed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// Start opens the data directory and starts the replica, its listeners and
// its duties. A fresh replica serves operators and entry hosts only once it
// belongs to a group.
func Start(cfg Config) (*Control, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = agatemetrics.New(agatemetrics.Config{})
	}
	c := &Control{
		cfg:      cfg,
		log:      cfg.Logger,
		epoch:    newEpoch(),
		sessions: newSessions(),
		metrics:  &metrics{set: cfg.Metrics},
		revised:  make(chan struct{}, 1),
		failed:   make(chan struct{}),
	}
	healing := agateheal.Config{}
	if cfg.Heal {
		healing.Voters = healVoters
	}
	c.healer = agateheal.New(healing)
	cfg.Metrics.Declare("control")
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
	c.machine = agatestate.New(agatestate.Config{})
	c.dialer = agatelink.NewDialer(agatelink.Config{TLS: cfg.ClientTLS, Dial: cfg.Dial})
	c.sender = agatelink.NewSender(c.dialer)
	c.fresh.Store(saved.Fresh)
	if err := c.listen(); err != nil {
		c.abort()
		return nil, err
	}
	c.duties.Go(func() { c.run(saved) })
	return c, nil
}

func newEpoch() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// limits are the bounds of action records that this replica's settings ask
// for.
func (c *Control) limits() agatestate.Limits {
	s := &c.cfg.Settings
	return agatestate.Limits{
		Retention:      s.Retention,
		MaxRecords:     s.Record.Count,
		MaxBytes:       s.Record.Bytes,
		MaxAnswerBytes: s.Record.Answer,
	}
}

// listen opens the gRPC listener, on which a fresh replica tells others that
// it belongs to no group.
func (c *Control) listen() error {
	ln, err := agatelink.Listen(c.cfg.Settings.Peer)
	if err != nil {
		return fmt.Errorf("agatecontrol: %w", err)
	}
	c.server = agatelink.NewServer(c.cfg.ServerTLS)
	agatewire.RegisterQuorumServer(c.server, &quorumService{c: c})
	agatewire.RegisterControlServer(c.server, &controlService{c: c})
	go func() { _ = c.server.Serve(ln) }() // ends with Stop
	c.admin, err = agateserve.Start(agateserve.Config{
		Address:        c.cfg.Settings.Admin,
		Handler:        agateops.New(c.ops()),
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

// run finds the replica's group, opens the replica and carries its duties.
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
	c.duties.Go(func() { c.watch(r) })
	c.fresh.Store(saved.Fresh && len(bootstrap) == 0)
	c.duties.Go(c.spread)
	c.duties.Go(func() { c.every(expireEvery, c.expire) })
	c.duties.Go(func() { c.every(repairEvery, c.repair) })
	c.duties.Go(func() { c.every(sweepEvery, c.sweep) })
	c.duties.Go(func() { c.every(syncEvery, c.checkSync) })
	if c.cfg.Heal {
		c.duties.Go(func() { c.every(lapseEvery, c.lapse) })
	}
	if c.cfg.Heal || (saved.Fresh && len(bootstrap) == 0) {
		c.duties.Go(func() { c.every(joinEvery, c.join) })
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
			begun := time.Now()
			err := c.store.Append(agatestore.Batch{HardState: hard, Entries: entries})
			c.metrics.set.Histogram(agatemetrics.AppendTime, "").Record(time.Since(begun))
			return err
		},
		SaveSnapshot:  c.store.SaveSnapshot,
		SnapshotEvery: c.cfg.Settings.Snapshot,
		Heartbeat:     c.cfg.Heartbeat,
		Stagger:       c.cfg.Stagger,
		Logger:        c.log.Named("replica"),
	}
}

// applyCommand applies a committed command and notes when a revision comes
// into force here.
func (c *Control) applyCommand(index uint64, data []byte) []byte {
	before, fleet := c.machine.Config().Revision, c.machine.FleetIndex()
	out := c.machine.Apply(index, data)
	after := c.machine.Config().Revision
	if after > before || c.machine.FleetIndex() > fleet {
		c.changed.wake()
	}
	if after > before {
		c.accepted.note(after)
		select {
		case c.revised <- struct{}{}:
		default: // the duty has not handled the last one yet
		}
	}
	return out
}

// watch notes that the replica stopped by itself, as it does when a committed
// entry is contradicted or the state cannot be restored.
func (c *Control) watch(r *agatereplica.Replica) {
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

// Failed is closed when the replica stopped by itself. Fault then says why.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// Fault returns why the replica stopped by itself, or nil.
func (c *Control) Fault() error {
	if err := c.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// every calls a duty until the process stops.
func (c *Control) every(interval time.Duration, duty func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
			ctx, cancel := context.WithTimeout(c.ctx, callTime)
			duty(ctx)
			cancel()
		}
	}
}

// sweep ends leases of entry hosts and publishes the replica's state.
func (c *Control) sweep(context.Context) {
	c.sessions.sweep(time.Now())
	c.publish()
}

// expire moves state time on, so that due records expire without traffic, and
// puts the leader's limits in force. Both are repeated every second.
func (c *Control) expire(ctx context.Context) {
	if !c.leads() {
		return
	}
	_, _ = c.propose(ctx, agatestate.Command{Expire: &agatestate.Expire{}})
	if want := c.limits(); c.machine.Limits() != want {
		_, _ = c.propose(ctx, agatestate.Command{Limits: &want})
	}
}

// leads reports whether this replica believes to lead. Answers that depend on
// it are confirmed by Replica.Read.
func (c *Control) leads() bool {
	r := c.replica.Load()
	return r != nil && r.Status().Role == agatequorum.Leader
}

// propose stamps a command with state time and returns its result.
func (c *Control) propose(ctx context.Context, cmd agatestate.Command) (agatestate.Result, error) {
	r := c.replica.Load()
	if r == nil {
		return agatestate.Result{}, &agatereplica.NotLeaderError{}
	}
	out, err := r.Propose(ctx, c.stamped(r, cmd))
	c.metrics.proposed(err)
	if err != nil {
		return agatestate.Result{}, err
	}
	return agatestate.DecodeResult(out)
}

// stamped encodes a command with state time, so that only the leader's clock
// moves it.
func (c *Control) stamped(r *agatereplica.Replica, cmd agatestate.Command) []byte {
	cmd.Now = c.time.now(r.Status().Term, c.machine.Now()).UnixMilli()
	return agatestate.Encode(cmd)
}

// send hands a quorum message to the transport.
func (c *Control) send(to uint64, m agatequorum.Message) {
	addr := c.addressOf(to)
	if !addr.IsValid() {
		return
	}
	m.Address = c.cfg.Settings.Peer
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

// Stop hands the lead over, ends all duties and closes the data directory.
func (c *Control) Stop(ctx context.Context) error {
	var err error
	if r := c.replica.Load(); r != nil {
		err = r.Stop(ctx)
	}
	c.abort()
	return err
}

// Kill ends the process's work at once, as a crash would, but for the data
// directory's lock. Tests use it.
func (c *Control) Kill() {
	if r := c.replica.Load(); r != nil {
		_ = r.Close()
	}
	c.abort()
}

func (c *Control) abort() {
	c.cancel()
	if c.admin != nil {
		_ = c.admin.Close()
	}
	if c.server != nil {
		c.server.Stop()
	}
	c.duties.Wait()
	c.sender.Close()
	c.dialer.Close()
	if err := c.store.Close(); err != nil {
		c.log.Error("store does not close", "error", err)
	}
}

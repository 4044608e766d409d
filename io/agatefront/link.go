package agatefront

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// replicaTimeout is the time without a reply after which the stream to a
	// replica is reopened. Replicas send one reply a second to a host that does
	// not follow them, so it covers two replies.
	replicaTimeout = 2200 * time.Millisecond
	// followTimeout is the maximum age of a replica's last reply for the host to
	// choose it to follow.
	followTimeout = 1300 * time.Millisecond
	// maxFollowed is the number of replicas from which the host receives
	// changes. There are two because the failure of one is noticed only after
	// followTimeout.
	maxFollowed = 2
	// redialDelay is the delay before a failed stream is reopened.
	redialDelay = 150 * time.Millisecond
	// reconcileInterval is how often streams are opened and closed, and the
	// replicas to follow chosen.
	reconcileInterval = 200 * time.Millisecond
	// freshPeriod is how long information from the control group counts as
	// current.
	freshPeriod = 3 * time.Second
	// planTimeout limits the fetch of a plan.
	planTimeout = 2 * time.Second
	// fleetTimeout is how long a host without a fleet waits for a replica to
	// send it before it asks the next one. Only one is asked at a time: a full
	// copy takes a third of a second on a link of 2 Mbit/s, and concurrent copies
	// would delay each other.
	fleetTimeout = 700 * time.Millisecond
)

// controlLink watches the control group and applies the fleet (the list of
// upstreams), the plan and the suspects that it sends. It is safe for concurrent
// use.
type controlLink struct {
	f *Front

	mu             sync.Mutex
	watches        map[netip.AddrPort]*watch
	members        []netip.AddrPort // replicas as last reported by a synced replica
	hosts          []string         // names of the live entry hosts
	fleetIndex     uint64           // index in the replicated log up to which the table has the fleet
	hasFleet       bool             // the table holds the fleet
	planRevision   uint64           // control group's revision of the plan in force, not Plan.Version
	fetchingPlan   bool
	lastSynced     time.Time // last reply of a synced replica
	fleetRequested time.Time // last request for the whole fleet
}

// watch is the Watch stream to one replica.
type watch struct {
	addr         netip.AddrPort
	cancel       context.CancelFunc
	lastReply    time.Time
	synced       bool          // whether the replica knows a leader or is the leader
	rtt          time.Duration // from the first heartbeat to its reply
	follow       bool          // whether the replica sends changes to this host
	nearest      bool          // whether it is the one of the followed that sends loads
	limits       uint64        // cursor of the limits that were sent on the stream
	loads        uint64        // cursor of the loads that were sent on the stream
	run          uint64        // random id of the run of the replica's process
	heartbeatDue chan struct{} // triggers an immediate heartbeat
	questionDue  chan struct{} // triggers a question about limits of workspaces
	// question is the number of the last question on the stream, and askedAt when those
	// without an answer were asked.
	question uint64
	askedAt  map[uint64]time.Duration
}

// hasState reports whether the host has received the fleet and the plan.
func (l *controlLink) hasState() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasStateLocked()
}

func (l *controlLink) hasStateLocked() bool { return l.hasFleet && l.planRevision > 0 }

// fresh reports whether a synced replica has replied within freshPeriod.
func (l *controlLink) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastSynced) < freshPeriod
}

func (l *controlLink) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planRevision
}

// replicas returns the addresses of the known replicas, including the seeds.
func (l *controlLink) replicas() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicasLocked()
}

func (l *controlLink) replicasLocked() []netip.AddrPort {
	out := slices.Clone(l.members)
	for _, addr := range l.f.cfg.Seeds() {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// run maintains a stream to each replica and chooses those to follow.
func (l *controlLink) run() {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	shutdown := l.f.shutdown
	for {
		l.reconcile(time.Now())
		select {
		case <-l.f.ctx.Done():
			return
		case <-shutdown:
			shutdown = nil
			l.requestHeartbeats()
		case <-tick.C:
		}
	}
}

func (l *controlLink) reconcile(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watches == nil {
		l.watches = make(map[netip.AddrPort]*watch)
	}
	targets := l.replicasLocked()
	for _, addr := range targets {
		if l.watches[addr] == nil {
			w := &watch{addr: addr, heartbeatDue: make(chan struct{}, 1), questionDue: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(l.f.ctx)
			w.cancel = cancel
			l.watches[addr] = w
			l.f.wg.Go(func() { l.keepWatch(ctx, w) })
		}
	}
	for addr, w := range l.watches {
		if !slices.Contains(targets, addr) {
			w.cancel()
			delete(l.watches, addr)
		}
	}
	l.chooseFollowed(now)
	l.setBanks(now)
	l.f.expireHosts(now)
}

// chooseFollowed follows the synced replicas with the lowest round-trip times.
// Before the fleet is received, handleReply chooses the replicas.
func (l *controlLink) chooseFollowed(now time.Time) {
	if !l.hasFleet {
		return
	}
	var current []*watch
	for _, w := range l.watches {
		if w.synced && now.Sub(w.lastReply) < followTimeout {
			current = append(current, w)
		}
	}
	sortByRTT(current)
	if len(current) == 0 {
		return
	}
	chosen := current[:min(maxFollowed, len(current))]
	for _, w := range l.watches {
		w.nearest = w == chosen[0]
		follow := slices.Contains(chosen, w)
		if follow != w.follow {
			w.follow = follow
			w.requestHeartbeat()
		}
	}
}

// followed returns the addresses of the replicas that the host follows.
func (l *controlLink) followed() (addrs []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.watches {
		if w.follow {
			addrs = append(addrs, w.addr)
		}
	}
	return addrs
}

// requestHeartbeat triggers an immediate heartbeat.
func (w *watch) requestHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default: // already requested
	}
}

func (l *controlLink) requestHeartbeats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.watches {
		w.requestHeartbeat()
	}
}

// keepWatch keeps a stream to one replica open until ctx is done. Only the first
// failure is logged.
func (l *controlLink) keepWatch(ctx context.Context, w *watch) {
	warned := false
	for ctx.Err() == nil {
		err := l.stream(ctx, w)
		if ctx.Err() != nil {
			return
		}
		if !warned {
			l.f.log.Warn("control replica lost", "kind", "link", "choice", w.addr, "error", err)
		}
		warned = true
		l.f.dialer.Report(w.addr, err)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

var errReplicaTimeout = errors.New("agatefront: control replica timed out")

// stream sends heartbeats and handles replies until the stream fails.
func (l *controlLink) stream(ctx context.Context, w *watch) error {
	conn, err := l.f.dialer.Conn(w.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := agatewire.NewControlClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	l.mu.Lock()
	w.limits, w.loads = 0, 0
	w.run, w.askedAt = 0, map[uint64]time.Duration{}
	l.mu.Unlock()
	first := l.newHeartbeat(w)
	if admin := l.f.cfg.Admin; admin.IsValid() {
		first.Admin = admin.String()
	}
	if err := s.Send(first); err != nil {
		return err
	}
	replies := make(chan error, 1)
	go func() { replies <- l.receive(s, w, start) }()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-replies:
			return err
		case <-w.questionDue:
			if ask := l.newQuestion(w); ask != nil {
				err = s.Send(ask)
			}
			if err != nil {
				return err
			}
			continue
		case <-w.heartbeatDue:
		case <-tick.C:
			if l.timedOut(w, start) {
				return errReplicaTimeout
			}
		}
		if err := s.Send(l.newHeartbeat(w)); err != nil {
			return err
		}
	}
}

func (l *controlLink) timedOut(w *watch, start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := w.lastReply
	if last.Before(start) {
		last = start
	}
	return time.Since(last) > replicaTimeout
}

func (l *controlLink) newHeartbeat(w *watch) *agatewire.WatchAsk {
	sender := l.f.sender()
	suspects := l.f.suspects.index()
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := &agatewire.WatchAsk{
		Sender:   sender,
		Region:   l.f.cfg.Region,
		Domain:   l.f.cfg.Domain,
		Caller:   l.f.cfg.Listen.String(),
		Ready:    !l.f.stopping.Load() && l.hasStateLocked(),
		Unlinked: l.f.linksLost.Load(),
		Follow:   w.follow,
		Suspects: suspects,
	}
	if peer := l.f.cfg.Peer; peer.IsValid() {
		ask.Peer = peer.String()
	}
	if l.hasFleet {
		ask.Fleet = l.fleetIndex
	}
	l.addQuestion(w, ask)
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	reports, cursor := l.f.table.LimitReports(time.Now(), w.limits)
	w.limits = cursor
	ask.Limits = agateclient.ToWireLimits(reports)
	if !w.follow {
		return ask
	}
	loads, cursor := l.f.table.LoadReports(time.Now(), w.loads)
	w.loads = cursor
	ask.Loads = agateclient.ToWireLoads(loads)
	ask.Queues = w.nearest
	return ask
}

func (l *controlLink) receive(s grpc.BidiStreamingClient[agatewire.WatchAsk, agatewire.WatchReply], w *watch, start time.Time) error {
	for n := 0; ; n++ {
		reply, err := s.Recv()
		if err != nil {
			return err
		}
		now := time.Now()
		if n == 0 {
			l.f.log.Info("control replica reached", "kind", "link", "choice", w.addr, "synced", reply.Synced, "took", now.Sub(start))
		}
		l.handleReply(now, w, reply, n == 0, start)
	}
}

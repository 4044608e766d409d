package agatecontrol

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"agategate/core/agateplan"
	"agategate/core/agatestate"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

const (
	// watchInterval is the interval of a replica's heartbeats on a watch stream.
	watchInterval = 500 * time.Millisecond
	// standbyIntervals is the number of intervals between messages to a host
	// that follows another replica, which only needs to know that this one is
	// alive.
	standbyIntervals = 2
	// watchBatchDelay is how long a change waits for further changes that are
	// sent in the same message.
	watchBatchDelay = 20 * time.Millisecond
)

// broadcast notifies all goroutines that wait for the next change. The zero
// value is ready to use. It is safe for concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// notify wakes all waiting goroutines.
func (s *broadcast) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// Watch serves the watch stream of one entry host.
func (s *controlService) Watch(stream grpc.BidiStreamingServer[agatewire.WatchAsk, agatewire.WatchReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Sender.GetHost() == "" {
		return invalid("watch without a sender")
	}
	w := &watchStream{c: s.c, stream: stream, host: first.Sender.Host, region: first.Region, heartbeats: make(chan *agatewire.WatchAsk, 1)}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer s.c.presence.remove(first.Sender.Host, first.Sender.Epoch)
	go w.receive(ctx, cancel)
	return w.run(ctx, first)
}

// watchStream is the state of one watch stream.
type watchStream struct {
	c          *Control
	stream     grpc.BidiStreamingServer[agatewire.WatchAsk, agatewire.WatchReply]
	heartbeats chan *agatewire.WatchAsk
	// host and region are those of the entry host.
	host, region string
	lists        sentLists
	// fleet and suspects are the log indexes up to which the host is current.
	fleet    uint64
	suspects uint64
	// limits and loads are the cursors of the limits and loads of upstreams that were
	// sent to the host.
	limits, loads uint64
	// follow is whether the host takes fleet and suspect changes from this
	// replica.
	follow bool
	// queues is whether the host takes loads of upstreams from this replica.
	queues bool
	// sentSynced is whether the last message said that this replica knows a
	// leader.
	sentSynced bool
	// quotas answers the host's last question about limits, whose number is question.
	quotas   []*agatewire.QuotaGrant
	question uint64
}

// receive passes the heartbeats of the host to run.
func (w *watchStream) receive(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		req, err := w.stream.Recv()
		if err != nil {
			return
		}
		select {
		case w.heartbeats <- req:
		case <-ctx.Done():
			return
		}
	}
}

// run answers heartbeats and sends changes as they occur.
func (w *watchStream) run(ctx context.Context, first *agatewire.WatchAsk) error {
	w.handleHeartbeat(first)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		updated := w.c.updates.wait()
		if err := w.stream.Send(w.reply()); err != nil {
			return err
		}
		if !w.waitUntilDue(ctx, ticker.C, updated) {
			return nil
		}
	}
}

// waitUntilDue waits until the next message is due. It returns false at the end
// of the stream or of the process.
func (w *watchStream) waitUntilDue(ctx context.Context, tick <-chan time.Time, updated <-chan struct{}) bool {
	batchDue := (<-chan time.Time)(nil)
	remaining := 1
	if !w.follow {
		remaining = standbyIntervals
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-w.c.ctx.Done():
			return false
		case req := <-w.heartbeats:
			w.handleHeartbeat(req)
			if w.hostBehind() {
				return true
			}
			if w.question != 0 && w.stream.Send(w.answer()) != nil {
				return false
			}
		case <-updated:
			updated = nil
			if w.follow || w.c.hasLeader.Load() != w.sentSynced {
				batchDue = time.After(watchBatchDelay)
			}
		case <-batchDue:
			return true
		case <-tick:
			if remaining--; remaining <= 0 || w.follow {
				return true
			}
		}
	}
}

// checkLeader notifies watching hosts when the replica gains or loses its
// leader.
func (c *Control) checkLeader(context.Context) {
	hasLeader := c.replica.Load().Status().Leader != 0
	if c.hasLeader.Swap(hasLeader) != hasLeader {
		c.updates.notify()
	}
}

// hostBehind reports whether this replica has fleet changes that the host
// neither was sent nor has reported to hold.
func (w *watchStream) hostBehind() bool {
	return w.follow && w.c.hasLeader.Load() && w.c.machine.FleetIndex() > w.fleet
}

func (w *watchStream) handleHeartbeat(req *agatewire.WatchAsk) {
	if len(req.Quotas) > 0 {
		w.quotas, w.question = w.c.lendQuotas(w.host, req.Quotas), req.Question
	}
	if req.Partial {
		return
	}
	now := time.Now()
	w.c.presence.recordHeartbeat(now, req)
	if w.c.upstreamLimits.merge(now, agateclient.FromWireLimits(req.Limits)) {
		w.c.updates.notify()
	}
	w.c.upstreamLoads.merge(now, agateclient.FromWireLoads(req.Loads))
	w.follow, w.queues = req.Follow, req.Queues
	w.fleet = max(w.fleet, req.Fleet)
	if req.Fleet == 0 { // the host holds no fleet state and needs all of it
		w.fleet = 0
	}
	w.suspects = max(w.suspects, req.Suspects)
}

// answer returns a message that only answers the host's last question.
func (w *watchStream) answer() *agatewire.WatchReply {
	reply := &agatewire.WatchReply{Sender: w.c.identity(), Synced: w.c.hasLeader.Load(), Partial: true}
	w.fillQuotas(reply)
	return reply
}

func (w *watchStream) fillQuotas(reply *agatewire.WatchReply) {
	reply.Quotas, reply.Question = w.quotas, w.question
	w.quotas, w.question = nil, 0
}

func (w *watchStream) reply() *agatewire.WatchReply {
	c := w.c
	reply := &agatewire.WatchReply{Sender: c.identity(), Fleet: c.machine.FleetIndex()}
	w.fillQuotas(reply)
	if r := c.replica.Load(); r != nil {
		st := r.Status()
		reply.Synced = st.Leader != 0
		var replicas []string
		for _, m := range st.Members {
			replicas = append(replicas, m.Address.String())
		}
		w.lists.fill(reply, replicas, c.presence.names(time.Now()))
	}
	w.sentSynced = reply.Synced
	if !w.follow || !reply.Synced {
		return reply
	}
	w.lists.fillPeers(reply, c.presence.peers(time.Now(), w.host, w.region))
	if reply.Fleet > w.fleet {
		w.fillFleet(reply)
	}
	delta := c.machine.SuspectsSince(w.suspects)
	reply.Suspects = agateclient.ToWireSuspects(delta.Suspects)
	reply.Index = delta.Index
	reply.Full = delta.Full
	w.suspects = max(w.suspects, delta.Index)
	limits, cursor := c.upstreamLimits.since(time.Now(), w.limits)
	reply.Limits = agateclient.ToWireLimits(limits)
	w.limits = cursor
	if w.queues {
		loads, cursor := c.upstreamLoads.since(time.Now(), w.loads)
		reply.Loads = agateclient.ToWireLoads(loads)
		w.loads = cursor
	}
	return reply
}

// sentLists holds the addresses of replicas and the names of entry hosts that a
// host was last sent.
type sentLists struct {
	replicas, hosts []string
	peers           []netip.AddrPort
}

// fill adds the lists that changed since they were last sent. It adds none
// unless this replica knows a leader, because hosts ignore the lists of a
// replica that knows none.
func (l *sentLists) fill(reply *agatewire.WatchReply, replicas, hosts []string) {
	if !reply.Synced {
		return
	}
	if !slices.Equal(replicas, l.replicas) {
		l.replicas = replicas
		reply.Replicas = replicas
	}
	if !slices.Equal(hosts, l.hosts) {
		l.hosts = hosts
		reply.Hosts = hosts
	}
}

// fillPeers adds the peers of the host if they changed since they were last sent. That
// there are none left is not sent: the host learns it when they decline its requests.
func (l *sentLists) fillPeers(reply *agatewire.WatchReply, hosts []presentHost) {
	peers := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		peers = append(peers, h.peerAddr)
	}
	if slices.Equal(peers, l.peers) {
		return
	}
	l.peers = peers
	for _, h := range hosts {
		reply.Peers = append(reply.Peers, &agatewire.PeerRow{Name: h.name, Domain: h.domain, Address: h.peerAddr.String()})
	}
}

// fillFleet adds the fleet changes since the host's log index.
func (w *watchStream) fillFleet(reply *agatewire.WatchReply) {
	d := w.c.machine.Fleet(w.fleet)
	reply.Delta = true
	reply.Fleet = d.Index
	reply.Whole = d.Full
	reply.Evacuated = d.Evacuated
	for i := range d.Upstreams {
		reply.Upstreams = append(reply.Upstreams, upstreamRow(&d.Upstreams[i]))
	}
	w.fleet = d.Index
}

// upstreamRow converts an upstream. On the wire Gone means that the upstream
// deregistered and Lapsed that it expired; in the state Gone covers both.
func upstreamRow(u *agatestate.Upstream) *agatewire.UpstreamRow {
	row := &agatewire.UpstreamRow{
		Id:       u.ID,
		Service:  u.Service,
		Domain:   u.Domain,
		Slots:    int32(min(u.Slots, 1<<20)), // fits the int32 on the wire
		Draining: u.Draining,
		Gone:     u.Gone && !u.Expired,
		Lapsed:   u.Expired,
		Cold:     u.WarmupLeft.Milliseconds(),
		Born:     u.StartedAtMs,
		Ordinal:  int32(min(u.Ordinal, 1<<20)),
	}
	if u.Address.IsValid() {
		row.Address = u.Address.String()
	}
	return row
}

// Plan returns the newest plan that this replica knows to be accepted.
func (s *controlService) Plan(context.Context, *agatewire.PlanAsk) (*agatewire.PlanReply, error) {
	revision, packed, err := s.c.plans.get(s.c.machine.Config())
	if err != nil {
		return nil, unavailable("plan: %v", err)
	}
	return &agatewire.PlanReply{Sender: s.c.identity(), Revision: revision, Packed: packed}, nil
}

// planCache keeps the packed form of a plan for entry hosts, which all request
// it at the same time after a change or a power loss. The zero value is ready
// to use. It is safe for concurrent use.
type planCache struct {
	mu       sync.Mutex
	revision uint64
	packed   []byte
}

// get returns the packed plan of a configuration, or revision 0 before the
// first one. Each revision is packed once.
func (p *planCache) get(cur agatestate.ConfigRevision) (revision uint64, packed []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cur.Revision == p.revision {
		return p.revision, p.packed, nil
	}
	doc, err := agateplan.DecodeDocument(cur.Document)
	if err != nil {
		return 0, nil, err
	}
	if packed, err = doc.Plan.Pack(); err != nil {
		return 0, nil, err
	}
	p.revision, p.packed = cur.Revision, packed
	return p.revision, p.packed, nil
}

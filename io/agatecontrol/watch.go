package agatecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"agategate/core/agateplan"
	"agategate/core/agatestate"
	"agategate/io/agatewire"
)

const (
	// watchBeat is the interval of a replica's heartbeats on a watch stream.
	watchBeat = 500 * time.Millisecond
	// watchRest is the number of heartbeats after which a host that follows
	// other replicas is sent one; it only has to know that this one lives.
	watchRest = 2
	// watchGather is how long a change waits for others that go into the same
	// message.
	watchGather = 20 * time.Millisecond
)

// signal wakes everyone who waits for the next change. The zero value is ready.
// It is safe for concurrent use.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// wake wakes all waiters.
func (s *signal) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// Watch serves the stream of one entry host.
func (s *controlService) Watch(stream grpc.BidiStreamingServer[agatewire.WatchAsk, agatewire.WatchReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Sender.GetHost() == "" {
		return invalid("watch without a sender")
	}
	w := &watch{c: s.c, stream: stream, asks: make(chan *agatewire.WatchAsk, 1)}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer s.c.presence.lost(first.Sender.Host, first.Sender.Epoch)
	go w.receive(ctx, cancel)
	return w.run(ctx, first)
}

// watch is the state of one stream.
type watch struct {
	c      *Control
	stream grpc.BidiStreamingServer[agatewire.WatchAsk, agatewire.WatchReply]
	asks   chan *agatewire.WatchAsk
	lists  sentLists
	// fleet and suspects are the log indexes up to which the host knows all.
	fleet    uint64
	suspects uint64
	follow   bool
	// synced is what the host was last told.
	synced bool
}

// receive hands the newest heartbeat of the host to run.
func (w *watch) receive(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		ask, err := w.stream.Recv()
		if err != nil {
			return
		}
		select {
		case w.asks <- ask:
		case <-ctx.Done():
			return
		}
	}
}

// run answers heartbeats, and sends changes when they come.
func (w *watch) run(ctx context.Context, first *agatewire.WatchAsk) error {
	w.take(first)
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
	for {
		woken := w.c.changed.wait()
		if err := w.stream.Send(w.reply()); err != nil {
			return err
		}
		if !w.pause(ctx, beat.C, woken) {
			return nil
		}
	}
}

// pause waits until a reply is due. It reports false at the end of the stream
// or of the process.
func (w *watch) pause(ctx context.Context, beat <-chan time.Time, woken <-chan struct{}) bool {
	gather := (<-chan time.Time)(nil)
	rest := 1
	if !w.follow {
		rest = watchRest
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-w.c.ctx.Done():
			return false
		case ask := <-w.asks:
			w.take(ask)
			if w.stale() {
				return true
			}
		case <-woken:
			woken = nil
			if w.follow || w.c.synced.Load() != w.synced {
				gather = time.After(watchGather)
			}
		case <-gather:
			return true
		case <-beat:
			if rest--; rest <= 0 || w.follow {
				return true
			}
		}
	}
}

// checkSync tells watching hosts when the replica gains or loses its leader.
func (c *Control) checkSync(context.Context) {
	synced := c.replica.Load().Status().Leader != 0
	if c.synced.Swap(synced) != synced {
		c.changed.wake()
	}
}

// stale reports whether the host lacks something that this replica has.
func (w *watch) stale() bool {
	return w.follow && w.c.synced.Load() && w.c.machine.FleetIndex() > w.fleet
}

func (w *watch) take(ask *agatewire.WatchAsk) {
	w.c.presence.heard(time.Now(), ask)
	w.follow = ask.Follow
	w.fleet = max(w.fleet, ask.Fleet)
	if ask.Fleet == 0 {
		w.fleet = 0
	}
	w.suspects = max(w.suspects, ask.Suspects)
}

func (w *watch) reply() *agatewire.WatchReply {
	c := w.c
	reply := &agatewire.WatchReply{Sender: c.identity(), Fleet: c.machine.FleetIndex()}
	if r := c.replica.Load(); r != nil {
		st := r.Status()
		reply.Synced = st.Leader != 0
		var replicas []string
		for _, m := range st.Members {
			replicas = append(replicas, m.Address.String())
		}
		w.lists.fill(reply, replicas, c.presence.names(time.Now()))
	}
	w.synced = reply.Synced
	if !w.follow || !reply.Synced {
		return reply
	}
	if reply.Fleet > w.fleet {
		w.fill(reply)
	}
	delta := c.machine.SuspectsSince(w.suspects)
	for _, s := range delta.Suspects {
		reply.Suspects = append(reply.Suspects, &agatewire.Suspect{Print: s.Fingerprint[:], Deaths: uint32(s.Deaths), Index: s.Index})
	}
	reply.Index = delta.Index
	reply.Full = delta.Full
	w.suspects = max(w.suspects, delta.Index)
	return reply
}

// sentLists is the addresses of replicas and the names of entry hosts that a
// host was sent last.
type sentLists struct {
	replicas, hosts []string
}

// fill adds the lists that changed since they were sent. A host believes only
// a replica that is in sync, so the others send none.
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

// fill adds what changed in the fleet.
func (w *watch) fill(reply *agatewire.WatchReply) {
	d := w.c.machine.Fleet(w.fleet)
	reply.Delta = true
	reply.Fleet = d.Index
	reply.Whole = d.Full
	reply.Evacuated = d.Evacuated
	for i := range d.Upstreams {
		reply.Upstreams = append(reply.Upstreams, wireRow(&d.Upstreams[i]))
	}
	w.fleet = d.Index
}

func wireRow(u *agatestate.Upstream) *agatewire.UpstreamRow {
	row := &agatewire.UpstreamRow{
		Id:       u.ID,
		Service:  u.Service,
		Domain:   u.Domain,
		Slots:    int32(min(u.Slots, 1<<20)),
		Draining: u.Draining,
		Gone:     u.Gone && !u.TimedOut,
		Lapsed:   u.TimedOut,
		Cold:     u.ColdFor.Milliseconds(),
		Born:     u.StartMs,
	}
	if u.Address.IsValid() {
		row.Address = u.Address.String()
	}
	return row
}

// Plan returns the plan that this replica knows to be accepted.
func (s *controlService) Plan(context.Context, *agatewire.PlanAsk) (*agatewire.PlanReply, error) {
	revision, packed, err := s.c.packed.of(s.c.machine.Config())
	if err != nil {
		return nil, unavailable("plan: %v", err)
	}
	return &agatewire.PlanReply{Sender: s.c.identity(), Revision: revision, Packed: packed}, nil
}

// packedPlan keeps the form of a plan for entry hosts, which all ask for it at
// once after a change or a loss of power. The zero value is ready. It is safe
// for concurrent use.
type packedPlan struct {
	mu       sync.Mutex
	revision uint64
	packed   []byte
}

// of returns the packed plan of a configuration, or revision 0 before the
// first one. The plan is packed once a revision.
func (p *packedPlan) of(cur agatestate.ConfigRevision) (revision uint64, packed []byte, err error) {
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

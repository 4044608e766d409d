package agatefront

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
	"agategate/io/agatewire"
)

const (
	// beatEvery is the interval of heartbeats to each control replica.
	beatEvery = 500 * time.Millisecond
	// silentAfter is how long a replica may be silent before its stream is
	// opened anew: more than two of the heartbeats that it sends to a host that
	// does not follow it, one a second.
	silentAfter = 2200 * time.Millisecond
	// currentAfter is how old the last heartbeat of a replica may be for its
	// changes to be followed.
	currentAfter = 1300 * time.Millisecond
	// followed is the number of replicas whose changes are followed: one may
	// fall silent unnoticed for a second.
	followed = 2
	// redialPause is the pause before a stream is opened anew.
	redialPause = 150 * time.Millisecond
	// manageEvery is how often the choice of replicas is looked at.
	manageEvery = 200 * time.Millisecond
	// freshFor is how long what the control group said counts as current.
	freshFor = 3 * time.Second
	// planTime bounds the fetch of a plan.
	planTime = 2 * time.Second
	// fleetTime is how long a host without a fleet waits for the replica that
	// it asked before it asks the next one. A whole fleet takes a third of a
	// second on a link of 2 Mbit/s, so several at once would delay each other.
	fleetTime = 700 * time.Millisecond
)

// link is the duty that watches the control group. Its methods are safe for
// concurrent use.
type link struct {
	f *Front

	mu       sync.Mutex
	watches  map[netip.AddrPort]*watch
	members  []netip.AddrPort // as a synced replica last said
	hosts    []string         // names of the entry hosts that live
	fleet    uint64           // log index that the table holds
	has      bool             // the table holds the fleet
	rev      uint64           // revision of the plan in force
	fetching bool
	synced   time.Time // when a synced replica was last heard
	asked    time.Time // when a replica was last asked for the whole fleet
}

// watch is the stream to one replica.
type watch struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
	heard  time.Time
	synced bool
	travel time.Duration // from the first heartbeat to its answer
	follow bool
	poke   chan struct{}
}

// informed reports whether the fleet and the plan are known.
func (l *link) informed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.has && l.rev > 0
}

// fresh reports whether the control group was heard lately.
func (l *link) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.synced) < freshFor
}

func (l *link) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev
}

// replicas returns the addresses of the replicas that are known.
func (l *link) replicas() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets()
}

func (l *link) targets() []netip.AddrPort {
	out := slices.Clone(l.members)
	for _, addr := range l.f.cfg.Seeds() {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// run keeps a stream to each replica and chooses those to follow.
func (l *link) run() {
	tick := time.NewTicker(manageEvery)
	defer tick.Stop()
	drain := l.f.drain
	for {
		l.manage(time.Now())
		select {
		case <-l.f.ctx.Done():
			return
		case <-drain:
			drain = nil
			l.pokeAll()
		case <-tick.C:
		}
	}
}

func (l *link) manage(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watches == nil {
		l.watches = make(map[netip.AddrPort]*watch)
	}
	targets := l.targets()
	for _, addr := range targets {
		if l.watches[addr] == nil {
			w := &watch{addr: addr, poke: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(l.f.ctx)
			w.cancel = cancel
			l.watches[addr] = w
			l.f.duties.Go(func() { l.watch(ctx, w) })
		}
	}
	for addr, w := range l.watches {
		if !slices.Contains(targets, addr) {
			w.cancel()
			delete(l.watches, addr)
		}
	}
	l.chooseFollowed(now)
}

// chooseFollowed follows the nearest replicas that are current. Before the
// fleet is known, take chooses.
func (l *link) chooseFollowed(now time.Time) {
	if !l.has {
		return
	}
	var current []*watch
	for _, w := range l.watches {
		if w.synced && now.Sub(w.heard) < currentAfter {
			current = append(current, w)
		}
	}
	slices.SortFunc(current, func(a, b *watch) int {
		if a.travel != b.travel {
			return int(a.travel - b.travel)
		}
		return a.addr.Compare(b.addr)
	})
	if len(current) == 0 {
		return
	}
	chosen := current[:min(followed, len(current))]
	for _, w := range l.watches {
		follow := slices.Contains(chosen, w)
		if follow != w.follow {
			w.follow = follow
			w.nudge()
		}
	}
}

// nudge has a heartbeat sent at once.
func (w *watch) nudge() {
	select {
	case w.poke <- struct{}{}:
	default: // one is due already
	}
}

func (l *link) pokeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.watches {
		w.nudge()
	}
}

// watch keeps the stream to one replica.
func (l *link) watch(ctx context.Context, w *watch) {
	lost := false
	for ctx.Err() == nil {
		err := l.stream(ctx, w)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			l.f.log.Warn("control replica lost", "kind", "link", "choice", w.addr, "error", err)
		}
		lost = true
		l.f.dialer.Report(w.addr, err)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

var errSilent = errors.New("agatefront: replica is silent")

// stream sends heartbeats and takes replies until the stream fails.
func (l *link) stream(ctx context.Context, w *watch) error {
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
	begun := time.Now()
	first := l.ask(w)
	if admin := l.f.cfg.Admin; admin.IsValid() {
		first.Admin = admin.String()
	}
	if err := s.Send(first); err != nil {
		return err
	}
	replies := make(chan error, 1)
	go func() { replies <- l.receive(s, w, begun) }()
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		select {
		case err := <-replies:
			return err
		case <-w.poke:
		case <-beat.C:
			if l.silent(w, begun) {
				return errSilent
			}
		}
		if err := s.Send(l.ask(w)); err != nil {
			return err
		}
	}
}

func (l *link) silent(w *watch, begun time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := w.heard
	if at.Before(begun) {
		at = begun
	}
	return time.Since(at) > silentAfter
}

func (l *link) ask(w *watch) *agatewire.WatchAsk {
	sender := l.f.sender()
	suspects := l.f.suspects.index()
	ready := l.f.Ready()
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := &agatewire.WatchAsk{
		Sender:   sender,
		Region:   l.f.cfg.Region,
		Domain:   l.f.cfg.Domain,
		Caller:   l.f.cfg.Listen.String(),
		Ready:    ready,
		Follow:   w.follow,
		Suspects: suspects,
	}
	if l.has {
		ask.Fleet = l.fleet
	}
	return ask
}

func (l *link) receive(s grpc.BidiStreamingClient[agatewire.WatchAsk, agatewire.WatchReply], w *watch, begun time.Time) error {
	for n := 0; ; n++ {
		reply, err := s.Recv()
		if err != nil {
			return err
		}
		now := time.Now()
		if n == 0 {
			l.f.log.Info("control replica reached", "kind", "link", "choice", w.addr, "synced", reply.Synced, "took", now.Sub(begun))
		}
		l.take(now, w, reply, n == 0, begun)
	}
}

// take takes in what a replica says.
func (l *link) take(now time.Time, w *watch, reply *agatewire.WatchReply, first bool, begun time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.heard = now
	w.synced = reply.Synced
	if first {
		w.travel = now.Sub(begun)
	}
	if !reply.Synced {
		return
	}
	l.synced = now
	l.setMembers(reply.Replicas)
	if len(reply.Hosts) > 0 {
		l.setHosts(reply.Hosts)
	}
	l.f.absolve(l.f.suspects.merge(now, reply))
	if reply.Delta && (reply.Fleet > l.fleet || !l.has) {
		l.setFleet(now, reply)
	}
	if !l.has && !w.follow && now.Sub(l.asked) > fleetTime {
		l.asked = now
		w.follow = true
		w.nudge()
	}
	if reply.Sender.GetRevision() > l.rev && !l.fetching {
		l.fetching = true
		l.f.duties.Go(func() { l.fetch(w.addr) })
	}
}

func (l *link) setMembers(list []string) {
	var members []netip.AddrPort
	for _, text := range list {
		if addr := parseAddr(text); addr.IsValid() {
			members = append(members, addr)
		}
	}
	if len(members) > 0 {
		l.members = members
	}
}

func (l *link) setHosts(names []string) {
	f := l.f
	if slices.Equal(names, l.hosts) {
		return
	}
	l.hosts = names
	f.mu.Lock()
	f.table.SetHosts(names)
	f.mu.Unlock()
	f.setShares()
}

// setShares bounds the connections to each upstream.
func (f *Front) setShares() {
	f.mu.Lock()
	shares := f.table.ConnectionLimits()
	f.mu.Unlock()
	for id, n := range shares {
		f.pool.SetMaxConns(id, n)
	}
}

func (l *link) setFleet(now time.Time, reply *agatewire.WatchReply) {
	f := l.f
	rows := make([]agatebalance.UpstreamInfo, 0, len(reply.Upstreams))
	for _, u := range reply.Upstreams {
		rows = append(rows, agatebalance.UpstreamInfo{
			ID:          u.Id,
			Service:     u.Service,
			Address:     parseAddr(u.Address),
			Domain:      u.Domain,
			Slots:       int(u.Slots),
			Draining:    u.Draining,
			Removed:     u.Gone,
			Lapsed:      u.Lapsed,
			WarmupLeft:  time.Duration(u.Cold) * time.Millisecond,
			StartedAtMs: u.Born,
		})
		if l.has {
			f.log.Info("upstream", "kind", "upstream", "choice", u.Id, "service", u.Service, "address", u.Address,
				"draining", u.Draining, "gone", u.Gone, "lapsed", u.Lapsed, "cold", u.Cold, "index", reply.Fleet)
		}
	}
	f.mu.Lock()
	gone := f.table.UpdateUpstreams(now, rows, reply.Whole, reply.Evacuated)
	f.mu.Unlock()
	for _, id := range gone {
		f.pool.Remove(id)
	}
	f.setShares()
	l.fleet = reply.Fleet
	if !l.has {
		f.log.Info("fleet known", "kind", "upstream", "upstreams", len(rows), "index", reply.Fleet)
	}
	l.has = true
}

// fetch puts the plan of a replica in force, if it is newer.
func (l *link) fetch(addr netip.AddrPort) {
	f := l.f
	ctx, cancel := context.WithTimeout(f.ctx, planTime)
	defer cancel()
	plan, rev, err := l.fetchPlan(ctx, addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetching = false
	if err != nil {
		f.log.Warn("plan not fetched", "kind", "plan", "from", addr, "error", err)
		return
	}
	if rev <= l.rev {
		return
	}
	index := agateplan.NewIndex(plan)
	f.mu.Lock()
	f.table.SetPlan(index)
	f.plan.Store(index)
	f.mu.Unlock()
	f.setShares()
	l.rev = rev
	f.log.Info("plan in force", "kind", "plan", "choice", plan.Version, "revision", rev, "from", addr)
	for _, w := range l.watches {
		w.nudge()
	}
}

func (l *link) fetchPlan(ctx context.Context, addr netip.AddrPort) (*agateplan.Plan, uint64, error) {
	conn, err := l.f.dialer.Conn(addr)
	if err != nil {
		return nil, 0, err
	}
	reply, err := agatewire.NewControlClient(conn).Plan(ctx, &agatewire.PlanAsk{Sender: l.f.sender()})
	l.f.dialer.Report(addr, err)
	if err != nil || reply.Revision == 0 {
		return nil, 0, err
	}
	plan, err := agateplan.Unpack(reply.Packed)
	return plan, reply.Revision, err
}

// parseAddr returns the zero value for text that is no address.
func parseAddr(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

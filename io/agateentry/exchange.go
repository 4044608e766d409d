package agateentry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"agategate/core/agateinventory"
	"agategate/core/agatelookup"
	"agategate/core/agateroute"
	"agategate/io/agatewire"
)

const (
	// exchangeEvery is the interval between two exchanges with a peer of the
	// same region while requests are in flight. Both use the same upstreams,
	// and older counts make them choose the same ones.
	exchangeEvery = 100 * time.Millisecond
	// exchangeSlow is the interval with other peers and while nothing is in
	// flight. The table forgets a peer that is silent for 500 ms.
	exchangeSlow = 250 * time.Millisecond
	// exchangeTime bounds one exchange.
	exchangeTime = 300 * time.Millisecond
)

// exchange is the duty that keeps entry hosts informed of each other: one
// goroutine for each peer, so that a silent peer delays no other one.
type exchange struct {
	e   *Entry
	ctx context.Context

	mu    sync.Mutex
	peers map[string]*exchangePeer
	done  sync.WaitGroup
}

// exchangePeer is what this host knows about its exchanges with one peer.
type exchangePeer struct {
	host string
	addr netip.AddrPort
	// near says that the peer is in this host's region.
	near   bool
	cancel context.CancelFunc
	wake   chan struct{}
	// epoch is the peer's last start and acked the version of this host's
	// table that it has.
	epoch uint64
	acked uint64
	// told is when the last exchange that the peer answered began, in Unix
	// nanoseconds.
	told atomic.Int64
}

func newExchange(ctx context.Context, e *Entry) *exchange {
	return &exchange{e: e, ctx: ctx, peers: make(map[string]*exchangePeer)}
}

// configured starts and ends exchanges as the inventory's hosts change.
func (x *exchange) configured(inv *agateinventory.Inventory) {
	x.mu.Lock()
	defer x.mu.Unlock()
	wanted := make(map[string]*agateinventory.Host)
	for i := range inv.Hosts {
		if h := &inv.Hosts[i]; h.Name != x.e.cfg.Settings.Name {
			wanted[h.Name] = h
		}
	}
	for name, p := range x.peers {
		if h := wanted[name]; h == nil || h.PeerAddr != p.addr || x.near(h) != p.near {
			p.cancel()
			delete(x.peers, name)
		}
	}
	for name, h := range wanted {
		if x.peers[name] == nil {
			x.peers[name] = x.start(h)
		}
	}
}

func (x *exchange) near(h *agateinventory.Host) bool { return h.Region == x.e.cfg.Settings.Region }

func (x *exchange) start(h *agateinventory.Host) *exchangePeer {
	ctx, cancel := context.WithCancel(x.ctx)
	p := &exchangePeer{host: h.Name, addr: h.PeerAddr, near: x.near(h), cancel: cancel, wake: make(chan struct{}, 1)}
	x.done.Go(func() { x.serve(ctx, p) })
	return p
}

// kick makes all exchanges due now.
func (x *exchange) kick() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.kick()
	}
}

// kickHost makes the exchange with one peer due now.
func (x *exchange) kickHost(host string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		p.kick()
	}
}

func (p *exchangePeer) kick() {
	select {
	case p.wake <- struct{}{}:
	default: // one is due already
	}
}

func (x *exchange) serve(ctx context.Context, p *exchangePeer) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case <-p.wake:
		}
		x.once(ctx, p)
		due.Reset(x.interval(p))
	}
}

// interval is the time until the next exchange with a peer.
func (x *exchange) interval(p *exchangePeer) time.Duration {
	if p.near && x.e.busy() {
		return exchangeEvery
	}
	return exchangeSlow
}

// once tells the peer what is new here.
func (x *exchange) once(ctx context.Context, p *exchangePeer) {
	begun := time.Now()
	ask, ok := x.ask(p)
	if !ok {
		return
	}
	conn, err := x.e.dialer.Conn(p.addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	reply, err := agatewire.NewPeerClient(conn).Exchange(ctx, ask)
	x.e.dialer.Report(p.addr, err)
	if err != nil {
		return
	}
	if reply.Sender.GetHost() != p.host {
		x.e.log.Warn("another host answers at a peer's address", "peer", p.host, "host", reply.Sender.GetHost(), "address", p.addr)
		return
	}
	if reply.Sender.Epoch != p.epoch {
		p.epoch = reply.Sender.Epoch
		p.acked = 0
		return
	}
	p.acked = ask.Version
	p.told.Store(begun.UnixNano())
	x.e.directory.heardPeer(time.Now(), reply.Sender, reply.Draining, reply.Load)
	if len(reply.Document) > 0 {
		x.e.install(reply.Sender.Revision, reply.Document, "", p.host)
	}
}

// awaitTold waits until every peer has answered an exchange that began after
// a time. It gives up on the others when they leave this host out of their
// look-ups because they do not hear from it.
func (x *exchange) awaitTold(ctx context.Context, since time.Time) {
	limit := time.NewTimer(agatelookup.DefaultHostTimeout + exchangeTime)
	defer limit.Stop()
	for !x.toldAll(since) {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(exchangeEvery / 10):
		}
	}
}

func (x *exchange) toldAll(since time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if p.told.Load() < since.UnixNano() {
			return false
		}
	}
	return true
}

func (x *exchange) ask(p *exchangePeer) (*agatewire.ExchangeAsk, bool) {
	e := x.e
	var out agateroute.Exchange
	if !e.router.do(func(now time.Time) { out = e.router.table.Export(now, p.acked) }) {
		return nil, false
	}
	ask := toWireExchange(&out)
	ask.Sender = e.identity()
	ask.Region = e.cfg.Settings.Region
	ask.Domain = e.cfg.Settings.Domain
	ask.Caller = e.cfg.Settings.Caller.String()
	ask.Draining = e.absent()
	ask.Load = e.load()
	ask.Base = p.acked
	ask.Suspects = e.suspects.export()
	return ask, true
}

// peerService serves other own processes.
type peerService struct {
	agatewire.UnimplementedPeerServer
	e *Entry
}

// Notify makes a heartbeat due when the leader has a newer revision.
func (s *peerService) Notify(_ context.Context, ask *agatewire.NotifyAsk) (*agatewire.NotifyReply, error) {
	if ask.Sender.GetRevision() > s.e.config.Load().revision {
		s.e.beats.kick()
	}
	return &agatewire.NotifyReply{Sender: s.e.identity()}, nil
}

// Exchange takes what a peer tells.
func (s *peerService) Exchange(_ context.Context, ask *agatewire.ExchangeAsk) (*agatewire.ExchangeReply, error) {
	e := s.e
	in := fromWireExchange(ask)
	for i := range in.Announcements {
		e.noteUpstream(&in.Announcements[i])
	}
	e.router.do(func(now time.Time) { e.router.table.Merge(now, in) })
	if ask.Base == 0 {
		e.informed.Store(true)
	}
	e.suspects.merge(ask.Suspects)
	e.directory.heardPeer(time.Now(), ask.Sender, ask.Draining, ask.Load)
	reply := &agatewire.ExchangeReply{
		Sender:   e.identity(),
		Known:    ask.Version,
		Draining: e.absent(),
		Load:     e.load(),
	}
	cur := e.config.Load()
	switch theirs := ask.Sender.GetRevision(); {
	case cur.revision > theirs:
		reply.Document = cur.document
		reply.Sender.Revision = cur.revision
	case cur.revision < theirs:
		// The peer answers this host's next exchange with its document.
		e.exchange.kickHost(ask.Sender.GetHost())
	}
	return reply, nil
}

// toWireExchange translates what the table tells a peer.
func toWireExchange(out *agateroute.Exchange) *agatewire.ExchangeAsk {
	ask := &agatewire.ExchangeAsk{Version: out.Version}
	for i := range out.Announcements {
		ask.Upstreams = append(ask.Upstreams, toWireUpstream(&out.Announcements[i]))
	}
	for _, n := range out.InFlight {
		ask.Uses = append(ask.Uses, &agatewire.UpstreamUse{Id: string(n.ID), Inflight: uint32(n.InFlight), Present: n.AtUpstream})
	}
	for _, t := range out.Traffic {
		ask.Traffic = append(ask.Traffic, &agatewire.Traffic{
			Service: t.Service,
			Region:  t.Region,
			Waiting: uint32(t.Queued),
			Answers: t.ResponseRate,
			Time:    int64(t.ServiceTime),
		})
	}
	return ask
}

// fromWireExchange leaves out what is malformed.
func fromWireExchange(ask *agatewire.ExchangeAsk) agateroute.Exchange {
	in := agateroute.Exchange{
		Host:    ask.Sender.GetHost(),
		Epoch:   ask.Sender.GetEpoch(),
		Version: ask.Version,
	}
	for _, u := range ask.Upstreams {
		if a, ok := fromWireUpstream(u); ok {
			in.Announcements = append(in.Announcements, a)
		}
	}
	for _, u := range ask.Uses {
		in.InFlight = append(in.InFlight, agateroute.InFlightCount{
			ID:         agateroute.UpstreamID(u.Id),
			InFlight:   int(u.Inflight),
			AtUpstream: u.Present,
		})
	}
	for _, t := range ask.Traffic {
		in.Traffic = append(in.Traffic, agateroute.Traffic{
			Service:      t.Service,
			Region:       t.Region,
			Queued:       int(t.Waiting),
			ResponseRate: t.Answers,
			ServiceTime:  time.Duration(t.Time),
		})
	}
	return in
}

func toWireUpstream(a *agateroute.Announcement) *agatewire.UpstreamState {
	return &agatewire.UpstreamState{
		Id:          string(a.ID),
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Service:     a.Service,
		Region:      a.Region,
		Domain:      a.Domain,
		Address:     a.Address.String(),
		Slots:       uint32(a.Slots),
		Connections: uint32(a.Connections),
		Load:        a.Load,
		State:       uint32(a.State),
		Age:         int64(a.Age),
	}
}

func fromWireUpstream(u *agatewire.UpstreamState) (agateroute.Announcement, bool) {
	addr, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		return agateroute.Announcement{}, false
	}
	return agateroute.Announcement{
		ID:          agateroute.UpstreamID(u.Id),
		Incarnation: u.Incarnation,
		Sequence:    u.Sequence,
		Service:     u.Service,
		Region:      u.Region,
		Domain:      u.Domain,
		Address:     addr,
		Slots:       int(u.Slots),
		Connections: int(u.Connections),
		Load:        u.Load,
		State:       agateroute.State(u.State),
		Age:         time.Duration(u.Age),
	}, true
}

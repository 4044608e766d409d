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
	// exchangeInterval is the interval of exchanges with a peer of the same
	// region while requests are in flight. Both hosts use the same upstreams.
	// With outdated in-flight counts, they would send their requests to the same
	// least-loaded ones.
	exchangeInterval = 100 * time.Millisecond
	// idleExchangeInterval is the interval of exchanges with peers of other
	// regions, and with all peers while no request is in flight. It must be
	// shorter than the 500 ms after which agateroute drops the counts of a
	// silent peer.
	idleExchangeInterval = 250 * time.Millisecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = 300 * time.Millisecond
)

// exchange sends this host's state to the other entry hosts periodically. Each
// peer has a goroutine of its own, so that an unresponsive peer does not delay
// the others.
type exchange struct {
	e   *Entry
	ctx context.Context

	mu      sync.Mutex
	peers   map[string]*exchangePeer
	workers sync.WaitGroup
}

// exchangePeer is the state of the exchanges with one peer.
type exchangePeer struct {
	host string
	addr netip.AddrPort
	// sameRegion reports whether the peer is in this host's region.
	sameRegion bool
	cancel     context.CancelFunc
	wake       chan struct{}
	// epoch is the peer's epoch, which changes at each of its starts, and
	// ackedVersion the version of this host's table that the peer has.
	epoch        uint64
	ackedVersion uint64
	// lastAckedStart is the start of the last exchange that the peer answered,
	// in Unix nanoseconds.
	lastAckedStart atomic.Int64
}

func newExchange(ctx context.Context, e *Entry) *exchange {
	return &exchange{e: e, ctx: ctx, peers: make(map[string]*exchangePeer)}
}

// configure starts and stops exchanges according to the hosts of an inventory.
func (x *exchange) configure(inv *agateinventory.Inventory) {
	x.mu.Lock()
	defer x.mu.Unlock()
	wanted := make(map[string]*agateinventory.Host)
	for i := range inv.Hosts {
		if h := &inv.Hosts[i]; h.Name != x.e.cfg.Settings.Name {
			wanted[h.Name] = h
		}
	}
	for name, p := range x.peers {
		if h := wanted[name]; h == nil || h.PeerAddr != p.addr || x.sameRegion(h) != p.sameRegion {
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

func (x *exchange) sameRegion(h *agateinventory.Host) bool {
	return h.Region == x.e.cfg.Settings.Region
}

func (x *exchange) start(h *agateinventory.Host) *exchangePeer {
	ctx, cancel := context.WithCancel(x.ctx)
	p := &exchangePeer{host: h.Name, addr: h.PeerAddr, sameRegion: x.sameRegion(h), cancel: cancel, wake: make(chan struct{}, 1)}
	x.workers.Go(func() { x.serve(ctx, p) })
	return p
}

// triggerAll requests an exchange with every peer without waiting for the next
// interval.
func (x *exchange) triggerAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.trigger()
	}
}

// triggerPeer requests an exchange with one peer.
func (x *exchange) triggerPeer(host string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		p.trigger()
	}
}

func (p *exchangePeer) trigger() {
	select {
	case p.wake <- struct{}{}:
	default: // already requested
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
		x.send(ctx, p)
		due.Reset(x.interval(p))
	}
}

// interval is the time until the next exchange with a peer.
func (x *exchange) interval(p *exchangePeer) time.Duration {
	if p.sameRegion && x.e.busy() {
		return exchangeInterval
	}
	return idleExchangeInterval
}

// send sends the changes since the last acknowledged version to a peer.
func (x *exchange) send(ctx context.Context, p *exchangePeer) {
	start := time.Now()
	req, ok := x.request(p)
	if !ok {
		return
	}
	conn, err := x.e.dialer.Conn(p.addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := agatewire.NewPeerClient(conn).Exchange(ctx, req)
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
		p.ackedVersion = 0
		return
	}
	p.ackedVersion = req.Version
	p.lastAckedStart.Store(start.UnixNano())
	x.e.directory.updateFromPeer(time.Now(), reply.Sender, reply.Draining, reply.Load)
	if len(reply.Document) > 0 {
		x.e.install(reply.Sender.Revision, reply.Document, "", p.host)
	}
}

// awaitAcked waits until every peer has answered an exchange that started after
// since. It stops waiting once peers that did not answer have removed this host
// from their lookups for lack of contact.
func (x *exchange) awaitAcked(ctx context.Context, since time.Time) {
	limit := time.NewTimer(agatelookup.DefaultHostTimeout + exchangeTimeout)
	defer limit.Stop()
	for !x.allAcked(since) {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(exchangeInterval / 10):
		}
	}
}

func (x *exchange) allAcked(since time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if p.lastAckedStart.Load() < since.UnixNano() {
			return false
		}
	}
	return true
}

func (x *exchange) request(p *exchangePeer) (*agatewire.ExchangeAsk, bool) {
	e := x.e
	var out agateroute.Exchange
	if !e.router.do(func(now time.Time) { out = e.router.table.Export(now, p.ackedVersion) }) {
		return nil, false
	}
	req := toWireExchange(&out)
	req.Sender = e.identity()
	req.Region = e.cfg.Settings.Region
	req.Domain = e.cfg.Settings.Domain
	req.Caller = e.cfg.Settings.CallerAddr.String()
	req.Draining = e.unavailable()
	req.Load = e.load()
	req.Base = p.ackedVersion
	req.Suspects = e.suspects.export()
	return req, true
}

// peerService serves other agategate processes.
type peerService struct {
	agatewire.UnimplementedPeerServer
	e *Entry
}

// Notify triggers a heartbeat if the leader has a newer revision.
func (s *peerService) Notify(_ context.Context, req *agatewire.NotifyAsk) (*agatewire.NotifyReply, error) {
	if req.Sender.GetRevision() > s.e.config.Load().revision {
		s.e.heartbeats.trigger()
	}
	return &agatewire.NotifyReply{Sender: s.e.identity()}, nil
}

// Exchange merges the state of a peer. The reply has this host's configuration
// if the peer's revision is older.
func (s *peerService) Exchange(_ context.Context, req *agatewire.ExchangeAsk) (*agatewire.ExchangeReply, error) {
	e := s.e
	in := fromWireExchange(req)
	for i := range in.Announcements {
		e.updateUpstream(&in.Announcements[i])
	}
	e.router.do(func(now time.Time) { e.router.table.Merge(now, in) })
	if req.Base == 0 {
		e.peerTableReceived.Store(true)
	}
	e.suspects.mergePeer(req.Suspects)
	e.directory.updateFromPeer(time.Now(), req.Sender, req.Draining, req.Load)
	reply := &agatewire.ExchangeReply{
		Sender:   e.identity(),
		Known:    req.Version,
		Draining: e.unavailable(),
		Load:     e.load(),
	}
	cur := e.config.Load()
	switch peerRevision := req.Sender.GetRevision(); {
	case cur.revision > peerRevision:
		reply.Document = cur.document
		reply.Sender.Revision = cur.revision
	case cur.revision < peerRevision:
		// The peer's reply to this host's next exchange has the document.
		e.exchange.triggerPeer(req.Sender.GetHost())
	}
	return reply, nil
}

// toWireExchange converts an export of the table to a message.
func toWireExchange(out *agateroute.Exchange) *agatewire.ExchangeAsk {
	req := &agatewire.ExchangeAsk{Version: out.Version}
	for i := range out.Announcements {
		req.Upstreams = append(req.Upstreams, toWireUpstream(&out.Announcements[i]))
	}
	for _, n := range out.InFlight {
		req.Uses = append(req.Uses, &agatewire.UpstreamUse{Id: string(n.ID), Inflight: uint32(n.InFlight), Present: n.AtUpstream})
	}
	for _, t := range out.Traffic {
		req.Traffic = append(req.Traffic, &agatewire.Traffic{
			Service: t.Service,
			Region:  t.Region,
			Waiting: uint32(t.Queued),
			Answers: t.ResponseRate,
			Time:    int64(t.ServiceTime),
		})
	}
	return req
}

// fromWireExchange converts a message of a peer. Upstreams with a malformed
// address are omitted.
func fromWireExchange(req *agatewire.ExchangeAsk) agateroute.Exchange {
	in := agateroute.Exchange{
		Host:    req.Sender.GetHost(),
		Epoch:   req.Sender.GetEpoch(),
		Version: req.Version,
	}
	for _, u := range req.Upstreams {
		if a, ok := fromWireUpstream(u); ok {
			in.Announcements = append(in.Announcements, a)
		}
	}
	for _, u := range req.Uses {
		in.InFlight = append(in.InFlight, agateroute.InFlightCount{
			ID:         agateroute.UpstreamID(u.Id),
			InFlight:   int(u.Inflight),
			AtUpstream: u.Present,
		})
	}
	for _, t := range req.Traffic {
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
		Connections: uint32(a.MaxConnections),
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
		ID:             agateroute.UpstreamID(u.Id),
		Incarnation:    u.Incarnation,
		Sequence:       u.Sequence,
		Service:        u.Service,
		Region:         u.Region,
		Domain:         u.Domain,
		Address:        addr,
		Slots:          int(u.Slots),
		MaxConnections: int(u.Connections),
		Load:           u.Load,
		State:          agateroute.State(u.State),
		Age:            time.Duration(u.Age),
	}, true
}

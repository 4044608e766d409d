package agateentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"agategate/core/agatebreaker"
	"agategate/core/agateinventory"
	"agategate/core/agatepeer"
	"agategate/core/agateroute"
	"agategate/internal/agateanswer"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateclock"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
	"agategate/io/agatewire"
)

const (
	// maxForwards is the number of peers to which one call is forwarded.
	maxForwards = 4
	// maxForwardBytes limits the body of a forwarded call, below the size of a message.
	maxForwardBytes = 1 << 20
	// forwardGrace is how long after the caller's deadline a peer's reply may arrive.
	forwardGrace = 100 * time.Millisecond
)

// Reasons for which a host declines a forwarded call, which was then not run. The
// values are stable.
const (
	declinedStopping = "stopping"
	declinedConfig   = "revision" // the receiver has an older configuration
	declinedBusy     = "busy"     // too many forwarded calls, or no memory for their bodies
	declinedLinks    = "no link"
)

// takenLabel counts the forwarded calls that were not declined.
const takenLabel = "taken"

// detours decides which calls other entry hosts carry, because this host's links to
// the upstreams of their service fail. It is safe for concurrent use.
type detours struct {
	mu       sync.Mutex
	breakers map[string]*agatebreaker.Breaker // by service
	peers    *agatepeer.Table
	// forwarded and own are the numbers of calls in progress that came from other entry
	// hosts and from callers.
	forwarded, own int
}

func newDetours(region, domain string) *detours {
	return &detours{
		breakers: map[string]*agatebreaker.Breaker{},
		peers:    agatepeer.New(agatepeer.Config{Region: region, Domain: domain}),
	}
}

// breaker returns the circuit breaker of a service; d.mu must be held.
func (d *detours) breaker(service string) *agatebreaker.Breaker {
	b := d.breakers[service]
	if b == nil {
		b = agatebreaker.New(agatebreaker.Config{})
		d.breakers[service] = b
	}
	return b
}

// allow reports whether a call may use this host's links.
func (d *detours) allow(now time.Time, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.breaker(service).Allow(now)
}

// open reports whether the links to a service are taken for lost.
func (d *detours) open(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.breaker(service).Open()
}

// reached records that an upstream of a service accepted a connection or responded.
func (d *detours) reached(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breaker(service).Reached(time.Now())
}

// record records the result of an attempt.
func (d *detours) record(service string, upstream agateroute.UpstreamID, r *agateupstream.Result) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.breaker(service)
	switch r.Kind {
	case agateupstream.Answered, agateupstream.Shed:
		b.Reached(now)
	case agateupstream.Refused, agateupstream.NotWritten:
		b.Failed(now, now.Add(-r.Elapsed), string(upstream))
	case agateupstream.Broken, agateupstream.Truncated, agateupstream.TimedOut, agateupstream.Canceled, agateupstream.TooLarge, agateupstream.Busy:
		// They do not tell whether the upstream can be reached.
	}
}

// begin counts a call in progress. The returned function ends it. It reports false if
// the call is a forwarded one beyond the limit.
func (d *detours) begin(forwarded bool) (end func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.own
	if forwarded {
		n = &d.forwarded
		if !agatepeer.MayTake(d.forwarded, d.own) {
			return nil, false
		}
	}
	*n++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		*n--
	}, true
}

// choosePeer chooses a peer for a call among the entry hosts of the inventory and
// records that the call is forwarded there.
func (e *Entry) choosePeer(now time.Time, q agatepeer.Query) (agatepeer.Peer, bool) {
	var list []agatepeer.Peer
	for _, h := range e.inventory.Load().Hosts {
		row, known := e.directory.get(h.Name)
		if h.Name != e.cfg.Settings.Name && known && row.leased && !row.draining {
			list = append(list, agatepeer.Peer{Name: h.Name, Region: h.Region, Domain: h.Domain, Address: h.PeerAddr})
		}
	}
	d := e.detours
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Set(list)
	peer, ok := d.peers.Choose(now, q)
	if ok {
		d.peers.Start(peer.Name)
	}
	return peer, ok
}

func (d *detours) finish(peer, service string, o agatepeer.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Finish(time.Now(), peer, service, o)
}

// forward has a peer carry a call. It reports false if none has taken it: then no peer
// has run it.
func (e *Entry) forward(ctx context.Context, cl *call) (rep reply, ok bool) {
	query := agatepeer.Query{Request: cl.id, Service: cl.service}
	size := cl.body.Len()
	if size > maxForwardBytes || cl.charge.Grow(size) != nil {
		return reply{}, false
	}
	defer cl.charge.Shrink(size) // the copy in the message
	for range maxForwards {
		left := time.Until(e.beforeStop(cl.deadline))
		peer, found := e.choosePeer(time.Now(), query)
		if !found || left <= 0 {
			break
		}
		res, err := e.askPeer(ctx, cl, peer, left)
		o := peerOutcome(ctx, res, err)
		e.detours.finish(peer.Name, cl.service, o)
		e.logForward(cl, peer.Name, res, o)
		query.Tried = append(query.Tried, peer.Name)
		switch {
		case o == agatepeer.Replied:
			return fromWireReply(res), true
		case o != agatepeer.Declined:
			rep, ok = errorReply(http.StatusBadGateway, outcomeUnknown, "peer", minRetryAfter), true
			if cl.class == agateinventory.Action || ctx.Err() != nil {
				return rep, ok
			}
		}
	}
	return rep, ok
}

// askPeer sends a call to a peer.
func (e *Entry) askPeer(ctx context.Context, cl *call, peer agatepeer.Peer, left time.Duration) (*agatewire.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, left+forwardGrace)
	defer cancel()
	conn, err := e.dialer.Conn(peer.Address)
	if err != nil {
		return nil, err
	}
	res, err := agatewire.NewPeerClient(conn).Forward(ctx, &agatewire.ForwardAsk{
		Sender: e.identity(), Id: cl.id, Service: cl.service, Method: cl.method, Path: cl.path, Region: cl.homeRegion,
		Key: cl.key, Left: left.Milliseconds(), Header: toWireHeader(cl.header), Body: cl.body.Bytes(),
	})
	e.dialer.Report(peer.Address, err)
	return res, err
}

func peerOutcome(ctx context.Context, res *agatewire.ForwardReply, err error) agatepeer.Outcome {
	switch {
	case err == nil && res.Declined != "":
		return agatepeer.Declined
	case err == nil && isFinalStatus(res.Status):
		return agatepeer.Replied
	case err == nil:
		return agatepeer.Unreachable // no answer that can be passed on; the call may have run
	case ctx.Err() != nil:
		return agatepeer.Canceled
	}
	return agatepeer.Unreachable
}

// isFinalStatus reports whether a status can be that of a response to a caller.
func isFinalStatus(status uint32) bool {
	return status >= http.StatusOK && agateanswer.CheckStatus(int(status)) == nil
}

// logForward records the end of a forwarded call.
func (e *Entry) logForward(cl *call, peer string, res *agatewire.ForwardReply, o agatepeer.Outcome) {
	e.metrics.set.Counter(agatemetrics.Forwarded, o.String()).Add(1)
	d := agatelog.Decision{
		Request: cl.id, Service: cl.service, Kind: agatelog.Forward, Action: cl.class == agateinventory.Action,
		Choice: peer, Reason: o.String(), Outcome: agatelog.Sent, Duration: time.Since(cl.arrived),
	}
	if o == agatepeer.Declined {
		d.Reason, d.Outcome = res.Declined, agatelog.Refused
	}
	e.cfg.Log.Record(&d)
}

// Forward carries a call of another entry host. The host declines before it has done
// anything, and never forwards the call.
func (s *peerService) Forward(ctx context.Context, req *agatewire.ForwardAsk) (*agatewire.ForwardReply, error) {
	e := s.e
	end, ok := e.detours.begin(true)
	if ok {
		defer end()
	}
	charge := e.account.Open().Begin()
	ok = ok && charge.Grow(int64(len(req.Body))) == nil
	if reason := e.declineForwarded(req, ok); reason != "" {
		charge.End()
		e.metrics.set.Counter(agatemetrics.Taken, reason).Add(1)
		return &agatewire.ForwardReply{Sender: e.identity(), Declined: reason}, nil
	}
	e.metrics.set.Counter(agatemetrics.Taken, takenLabel).Add(1)
	e.activeCalls.Add(1)
	defer e.activeCalls.Done()
	cl := e.forwardedCall(req, charge)
	defer cl.release()
	rep := e.serveCall(ctx, cl)
	e.recordCall(cl, rep)
	return e.toWireReply(&rep), nil
}

// declineForwarded returns why this host does not take a forwarded call, or "".
func (e *Entry) declineForwarded(req *agatewire.ForwardAsk, withinLimit bool) string {
	switch {
	case e.unavailable():
		return declinedStopping
	case e.Revision() < req.Sender.GetRevision() || e.inventory.Load().Service(req.Service) == nil:
		return declinedConfig
	case !withinLimit:
		return declinedBusy
	case e.detours.open(req.Service):
		return declinedLinks
	}
	return ""
}

// forwardedCall returns the call that another entry host forwards.
func (e *Entry) forwardedCall(req *agatewire.ForwardAsk, charge *agatebuffer.Charge) *call {
	now := time.Now()
	cl := &call{
		id: req.Id, service: req.Service, method: req.Method, path: req.Path, homeRegion: req.Region, key: req.Key,
		header: http.Header{}, body: agatebuffer.Of(req.Body), charge: charge, forwarded: true,
		class:     e.inventory.Load().Service(req.Service).Classify(req.Method, pathOf(req.Path)),
		arrived:   now,
		deadline:  now.Add(time.Duration(req.Left) * time.Millisecond),
		seenIndex: e.seenIndex.At(agateclock.Now()),
	}
	cl.users.Store(1)
	for _, f := range req.Header {
		cl.header.Add(f.Name, f.Value)
	}
	return cl
}

func toWireHeader(h http.Header) (out []*agatewire.Field) {
	for name, values := range h {
		for _, v := range values {
			out = append(out, &agatewire.Field{Name: name, Value: v})
		}
	}
	return out
}

func (e *Entry) toWireReply(rep *reply) *agatewire.ForwardReply {
	return &agatewire.ForwardReply{
		Sender: e.identity(), Status: uint32(rep.status), Outcome: string(rep.outcome), Reason: rep.reason, // a status has three digits
		After: rep.retryAfter.Milliseconds(), Answered: rep.header != nil, Header: toWireHeader(rep.header), Body: rep.body.Bytes(),
	}
}

func fromWireReply(res *agatewire.ForwardReply) reply {
	rep := reply{
		status: int(res.Status), outcome: outcome(res.Outcome), reason: res.Reason,
		retryAfter: time.Duration(res.After) * time.Millisecond, body: agatebuffer.Of(res.Body),
	}
	if res.Answered {
		rep.header = http.Header{}
		for _, f := range res.Header {
			rep.header.Add(f.Name, f.Value)
		}
	}
	return rep
}

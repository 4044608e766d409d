// Package agatepeer chooses the entry host to which another one forwards a request
// that it cannot carry itself, because its links to upstreams fail, and limits how
// many requests a host takes from others.
//
// What a peer can carry is learned from its replies: a peer that declines requests for
// a service, or cannot be reached, is left out for a while. Requests are spread over
// the peers of the host's region, and go to other regions only if none of these is
// left.
//
// # Usage
//
//	t := agatepeer.New(agatepeer.Config{Region: "centro", Domain: "centro-1"})
//	t.Set(peers)
//	p, ok := t.Choose(now, agatepeer.Query{Request: id, Service: "quotes"})
//	if ok {
//		t.Start(p.Name)
//		outcome := forward(p.Address)
//		t.Finish(now, p.Name, "quotes", outcome)
//	}
package agatepeer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// declinePeriod is how long a peer that declined a request for a service gets no
	// others for it, and unreachablePeriod how long one that could not be reached, or
	// did not reply, gets none at all. To ask a peer in vain costs a round trip.
	declinePeriod     = 2 * time.Second
	unreachablePeriod = 2 * time.Second
	// minForwarded is the number of forwarded requests that a host always takes at a
	// time. Beyond that it takes no more than it has from its own callers, so that
	// others at most double its load.
	minForwarded = 16
)

// Peer is another entry host.
type Peer struct {
	Name    string
	Region  string
	Domain  string
	Address netip.AddrPort // for requests of other entry hosts
}

// Outcome states how a peer dealt with a forwarded request.
type Outcome uint8

// The outcomes of a forwarded request.
const (
	// Replied means that the peer carried the request and replied.
	Replied Outcome = iota
	// Declined means that the peer did not take the request.
	Declined
	// Unreachable means that the peer could not be reached or did not reply.
	Unreachable
	// Canceled means that this host no longer waits for the reply. It says nothing
	// about the peer.
	Canceled
)

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Replied:
		return "replied"
	case Declined:
		return "declined"
	case Unreachable:
		return "unreachable"
	}
	return "cancelled"
}

// Config describes the host that forwards requests.
type Config struct {
	Region string
	Domain string
}

// Query describes a request to Choose.
type Query struct {
	Request string // the request's id, which spreads requests over peers that are alike
	Service string
	Regions []string // regions that the request may enter; empty means all
	Tried   []string // names of peers that must not get the request again
}

// peerState is a peer and what this host has learned about it.
type peerState struct {
	Peer
	inFlight         int
	unreachableUntil time.Time
	declinedUntil    map[string]time.Time // by service
}

// Table holds the peers of a host. It is not safe for concurrent use.
type Table struct {
	cfg   Config
	peers []*peerState
}

// New returns a Table without peers.
func New(cfg Config) *Table { return &Table{cfg: cfg} }

// Set replaces the list of peers. What was learned about those that stay is kept.
func (t *Table) Set(list []Peer) {
	var peers []*peerState
	for _, p := range list {
		state := t.find(p.Name)
		if state == nil || state.Address != p.Address {
			state = &peerState{declinedUntil: map[string]time.Time{}}
		}
		state.Peer = p
		peers = append(peers, state)
	}
	t.peers = peers
}

// CountByDomain returns the number of peers in each failure domain.
func (t *Table) CountByDomain() map[string]int {
	count := map[string]int{}
	for _, p := range t.peers {
		count[p.Domain]++
	}
	return count
}

func (t *Table) find(name string) *peerState {
	i := slices.IndexFunc(t.peers, func(p *peerState) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return t.peers[i]
}

// Choose returns the peer that is to get a request, or false if there is none. It
// prefers peers of this host's region, then those with the fewest requests from this
// host, then those of its failure domain.
func (t *Table) Choose(now time.Time, q Query) (Peer, bool) {
	var best *peerState
	for _, p := range t.peers {
		if t.eligible(now, p, &q) && (best == nil || t.compare(p, best, &q) < 0) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

func (t *Table) eligible(now time.Time, p *peerState, q *Query) bool {
	return !now.Before(p.unreachableUntil) && !now.Before(p.declinedUntil[q.Service]) &&
		!slices.Contains(q.Tried, p.Name) && (len(q.Regions) == 0 || slices.Contains(q.Regions, p.Region))
}

// compare is negative if a is to be preferred to b.
func (t *Table) compare(a, b *peerState, q *Query) int {
	return cmp.Or(
		compareBool(a.Region == t.cfg.Region, b.Region == t.cfg.Region),
		cmp.Compare(a.inFlight, b.inFlight),
		compareBool(a.Domain == t.cfg.Domain, b.Domain == t.cfg.Domain),
		cmp.Compare(xxhash.Sum64String(q.Request+"\x00"+a.Name), xxhash.Sum64String(q.Request+"\x00"+b.Name)),
	)
}

// compareBool is negative if only a holds.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Start records that a request is forwarded to a peer.
func (t *Table) Start(name string) {
	if p := t.find(name); p != nil {
		p.inFlight++
	}
}

// Finish records the end of a request that Start recorded.
func (t *Table) Finish(now time.Time, name, service string, o Outcome) {
	p := t.find(name)
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	switch o {
	case Declined:
		p.declinedUntil[service] = now.Add(declinePeriod)
	case Unreachable:
		p.unreachableUntil = now.Add(unreachablePeriod)
	case Replied, Canceled:
	}
}

// MayTake reports whether a host takes another forwarded request while it processes
// the given numbers of forwarded requests and of requests of its own callers.
func MayTake(forwarded, own int) bool { return forwarded < minForwarded+own }

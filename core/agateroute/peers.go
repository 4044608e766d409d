package agateroute

import (
	"math"
	"time"
)

const (
	// peerForget is how long the last report of a silent peer counts. A cut-off
	// peer's work still uses slots, but a dead one must not hold them for good.
	peerForget = 10 * time.Second

	// peerSilent is how long a peer may be silent, at ten exchanges per second,
	// before it counts as gone while others report. Its counts would otherwise
	// block the slots that its death has freed.
	peerSilent = 500 * time.Millisecond

	// reportTrust is the weight of an upstream's report on arrival. It is low,
	// since reports may mislead, and hosts that follow the same number herd.
	reportTrust = 0.1

	// reportAge is the age at which a report has no weight, in service times.
	reportAge = 2.0

	// minService bounds the service time, in seconds.
	minService = 1e-4

	// peerStale is the age from which a peer's report no longer counts as
	// fresh evidence of anything but the total.
	peerStale = time.Second
)

// Count is the number of requests in flight at one upstream.
type Count struct {
	ID       UpstreamID
	InFlight int
	// Present is the part of InFlight that is at the upstream and not on its
	// way to or from another region. Zero means all.
	Present float64
}

// Traffic is what an entry host does for a service in a region.
type Traffic struct {
	Name   string // of the service
	Region string
	// Waiting is the number of requests in its queue.
	Waiting int
	// Answers is the number of answers that it gets per second.
	Answers float64
	// Service is the time that a request takes there, as measured by an entry
	// host of the same region. Zero means unknown.
	Service time.Duration
}

// presentStep is the unit of Count.Present. Multiples of it add up without
// rounding, so the order of addition does not matter.
const presentStep = 1.0 / 16

// present is the part of a count that uses the upstream.
func (c Count) present() float64 {
	if c.Present <= 0 {
		return float64(c.InFlight)
	}
	return math.Ceil(min(c.Present, float64(c.InFlight))/presentStep) * presentStep
}

// Exchange is what one entry host tells another.
type Exchange struct {
	// Host is the name of the sender.
	Host string
	// Epoch grows with each start of the sender.
	Epoch uint64
	// Version is the sender's table version. A later Export from it holds
	// only what is newer.
	Version uint64
	// Announcements are those accepted since the version asked for, with
	// their ages.
	Announcements []Announcement
	// InFlight are the sender's own requests per upstream, without zeros.
	InFlight []Count
	// Traffic is what the sender does per service and region, where it does
	// anything.
	Traffic []Traffic
	// Age is how old the counts were on arrival. Zero means now.
	Age time.Duration
}

// peer is the last report of another entry host.
type peer struct {
	epoch  uint64
	at     time.Time
	counts map[UpstreamID]float64
	groups map[*group]Traffic
}

// Export returns what peers need to know: announcements newer than a version
// of this table, and the requests in flight from this entry host. The caller
// sets Epoch.
func (t *Table) Export(now time.Time, since uint64) Exchange {
	x := Exchange{Host: t.cfg.Host, Version: t.version}
	for _, u := range t.order {
		if u.version > since {
			a := u.last
			a.Age = max(0, now.Sub(u.heard))
			x.Announcements = append(x.Announcements, a)
		}
		if u.own > 0 {
			x.InFlight = append(x.InFlight, Count{
				ID: u.id, InFlight: u.own, Present: float64(u.own) * u.group.present,
			})
		}
	}
	for _, g := range t.groups {
		if n, answers := g.queue.len(), g.answers.value(now); n > 0 || answers > 0 {
			x.Traffic = append(x.Traffic, Traffic{
				Name: g.service.name, Region: g.region, Waiting: n, Answers: answers, Service: t.measured(g),
			})
		}
	}
	return x
}

// Merge takes what a peer exported. Reports of one epoch that are older than
// the last one are ignored, apart from their announcements.
func (t *Table) Merge(now time.Time, x Exchange) {
	for _, a := range x.Announcements {
		t.Announce(now, a)
	}
	if x.Host == "" || x.Host == t.cfg.Host {
		return
	}
	at := now.Add(-max(0, x.Age))
	p := t.peers[x.Host]
	if p == nil {
		p = &peer{counts: map[UpstreamID]float64{}, groups: map[*group]Traffic{}}
		t.peers[x.Host] = p
	}
	if x.Epoch < p.epoch || (x.Epoch == p.epoch && at.Before(p.at)) {
		return
	}
	p.epoch, p.at = x.Epoch, at
	t.replace(p, x.InFlight)
	t.traffic(p, x.Traffic)
	t.averagePeers(now)
}

// averagePeers sets the mean time of the peers' last reports.
func (t *Table) averagePeers(now time.Time) {
	var sum time.Duration
	for _, p := range t.peers {
		sum += min(now.Sub(p.at), peerStale)
	}
	t.peersAt = now.Add(-sum / time.Duration(max(1, len(t.peers))))
}

// replace swaps the counts of one peer in all sums.
func (t *Table) replace(p *peer, counts []Count) {
	for id, n := range p.counts {
		t.addPeers(id, -n)
	}
	clear(p.counts)
	for _, c := range counts {
		if c.InFlight > 0 {
			p.counts[c.ID] += c.present()
			t.addPeers(c.ID, c.present())
		}
	}
}

// traffic replaces the traffic of one peer in all sums.
func (t *Table) traffic(p *peer, reports []Traffic) {
	for g, r := range p.groups {
		g.peersWaiting -= r.Waiting
		g.peersAnswers -= r.Answers
		if r.Service > 0 {
			g.localTime -= r.Service
			g.localHosts--
		}
	}
	clear(p.groups)
	for _, r := range reports {
		s := t.services[r.Name]
		if s == nil || s.groups[r.Region] == nil || r.Waiting < 0 || !(r.Answers >= 0) || r.Service < 0 {
			continue
		}
		g := s.groups[r.Region]
		if _, twice := p.groups[g]; twice {
			continue
		}
		p.groups[g] = r
		g.peersWaiting += r.Waiting
		g.peersAnswers += r.Answers
		if r.Service > 0 {
			g.localTime += r.Service
			g.localHosts++
		}
	}
}

func (t *Table) addPeers(id UpstreamID, n float64) {
	if u := t.upstreams[id]; u != nil {
		u.change(0, n)
	}
}

// forget drops the counts of peers that are gone: silent while most others
// report, or silent for very long. If most are silent, the fault may be on
// this side, and the last known counts stay.
func (t *Table) forget(now time.Time) {
	fresh := 0
	for _, p := range t.peers {
		if now.Sub(p.at) <= peerSilent {
			fresh++
		}
	}
	alone := 2*fresh <= len(t.peers)
	for host, p := range t.peers {
		silent := now.Sub(p.at)
		if silent > peerForget || (silent > peerSilent && !alone) {
			t.replace(p, nil)
			t.traffic(p, nil)
			delete(t.peers, host)
		}
	}
}

// view is what one choice needs to know about peers.
type view struct {
	now     time.Time
	service float64 // usual time at the upstream in seconds
	normal  float64 // usual latency in seconds
	perSlot float64 // peers' requests in flight per slot, over the group
	fresh   float64 // weight of a peer's count for a single upstream, 0..1
	excess  float64 // requests per slot that may be in flight
	above   bool    // this host has more than its part of a full group
	below   bool    // this host has less than its part of the limit
	present float64 // part of own requests in flight that are at upstreams
}

// view prepares the numbers that are the same for all upstreams of a group.
func (t *Table) view(now time.Time, g *group) view {
	v := view{now: now, service: max(g.latency.normal.mean*g.present, minService), normal: g.latency.normal.mean, present: g.present, excess: g.excess()}
	if g.slots > 0 {
		v.perSlot = g.peers / g.slots
	}
	v.below = g.below()
	v.above = g.above()
	v.fresh = t.freshness(now, g)
	return v
}

// freshness discounts peers' counts per upstream by their age when a request
// arrives there: after about one service time the single counts are those of
// other requests, while the total over the group changes slowly.
func (t *Table) freshness(now time.Time, g *group) float64 {
	normal := g.latency.normal.mean
	age := now.Sub(t.peersAt)
	if age > peerStale || normal <= 0 {
		return 0
	}
	service := normal * g.present
	return math.Exp(-(age.Seconds() + (normal-service)/2) / service)
}

// inFlight estimates the requests in flight at an upstream over all entry
// hosts: own ones exactly, those of peers from the total and, as far as they
// are fresh, the single counts.
func (v *view) inFlight(u *upstream) float64 {
	even := v.perSlot * u.slots
	if !u.ramp.warm {
		even = u.peers
	}
	n := float64(u.own)*v.present + even + (u.peers-even)*v.fresh
	if w := v.trust(u); w > 0 {
		n = max(float64(u.own)*v.present, n+(u.report*u.slots-n)*w)
	}
	return n
}

// trust is the weight of an upstream's own report: it starts at reportTrust
// and ends after reportAge service times, when the reported requests are done.
func (v *view) trust(u *upstream) float64 {
	age := v.now.Sub(u.heard).Seconds() / v.service
	return reportTrust * (1 - age/reportAge)
}

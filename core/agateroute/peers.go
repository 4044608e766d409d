package agateroute

import (
	"math"
	"time"
)

const (
	// peerExpiry is how long the last report of a silent peer counts at most.
	// Requests of a partitioned peer still use slots, but those of a dead one must
	// not occupy them forever.
	peerExpiry = 10 * time.Second

	// peerTimeout is how long a peer may be silent before its counts are dropped
	// while more than half of the peers report: five exchanges at ten per second.
	// Otherwise the counts of a dead peer would block slots that its death has
	// freed.
	peerTimeout = 500 * time.Millisecond

	// reportWeight is the weight of an upstream's reported load on arrival. It is
	// low because reports may be misleading, and entry hosts that follow the same
	// value all move to the same upstream.
	reportWeight = 0.1

	// reportLifetimeServiceTimes is the age, in service times, at which a
	// reported load has no weight.
	reportLifetimeServiceTimes = 2.0

	// minServiceTime is a lower bound on the service time, in seconds.
	minServiceTime = 1e-4

	// peerCountMaxAge is the age from which a peer's counts are used only as a
	// total per group and not per upstream.
	peerCountMaxAge = time.Second
)

// InFlightCount is the number of requests in flight from one entry host to one
// upstream.
type InFlightCount struct {
	ID       UpstreamID
	InFlight int
	// AtUpstream is the estimated number of these requests that are at the
	// upstream and not in transit on the network. Zero means all.
	AtUpstream float64
}

// Traffic is the traffic of an entry host for a service in a region.
type Traffic struct {
	Service string
	Region  string
	// Queued is the number of requests in the queue of the entry host for the
	// region, without those that wait for an overflow grant.
	Queued int
	// ResponseRate is the number of responses per second.
	ResponseRate float64
	// ServiceTime is the time that a request takes at an upstream, as measured
	// by an entry host of the same region. Zero means unknown.
	ServiceTime time.Duration
}

// countStep is the unit to which atUpstream rounds. Sums of its multiples are
// exact, so they do not depend on the order of addition.
const countStep = 1.0 / 16

// atUpstream returns the part of a count that uses slots of the upstream.
func (c InFlightCount) atUpstream() float64 {
	if c.AtUpstream <= 0 {
		return float64(c.InFlight)
	}
	return math.Ceil(min(c.AtUpstream, float64(c.InFlight))/countStep) * countStep
}

// Exchange is the state that one entry host sends to a peer.
type Exchange struct {
	Host string
	// Epoch increases with each start of the sender.
	Epoch uint64
	// Version is the sender's table version. Passed to a later Export, it limits
	// the announcements to newer ones.
	Version uint64
	// Announcements are those accepted since the requested version, with their
	// ages.
	Announcements []Announcement
	// InFlight is the number of the sender's requests per upstream, without
	// zeros.
	InFlight []InFlightCount
	// Traffic is the sender's traffic per service and region, without idle ones.
	Traffic []Traffic
	// Age is the age of the counts on arrival. Zero means current.
	Age time.Duration
}

// peer is the last report of another entry host.
type peer struct {
	epoch      uint64
	reportedAt time.Time
	counts     map[UpstreamID]float64
	traffic    map[*group]Traffic
}

// Export returns the state to send to a peer: announcements newer than the
// version since, and the requests in flight from this entry host. The caller
// sets Epoch.
func (t *Table) Export(now time.Time, since uint64) Exchange {
	out := Exchange{Host: t.cfg.Host, Version: t.version}
	for _, u := range t.upstreamOrder {
		if u.version > since {
			a := u.announcement
			a.Age = max(0, now.Sub(u.announcedAt))
			out.Announcements = append(out.Announcements, a)
		}
		if u.ownInFlight > 0 {
			out.InFlight = append(out.InFlight, InFlightCount{
				ID: u.id, InFlight: u.ownInFlight, AtUpstream: float64(u.ownInFlight) * u.group.serviceTimeFraction,
			})
		}
	}
	for _, g := range t.groups {
		if n, rate := g.queue.len(), g.responseRate.value(now); n > 0 || rate > 0 {
			out.Traffic = append(out.Traffic, Traffic{
				Service: g.service.name, Region: g.region, Queued: n, ResponseRate: rate, ServiceTime: t.localServiceTime(g),
			})
		}
	}
	return out
}

// Merge applies the state received from a peer. Counts older than the last ones
// of the same epoch, or of an earlier epoch, are ignored, but announcements are
// always applied.
func (t *Table) Merge(now time.Time, in Exchange) {
	for _, a := range in.Announcements {
		t.Announce(now, a)
	}
	if in.Host == "" || in.Host == t.cfg.Host {
		return
	}
	at := now.Add(-max(0, in.Age))
	p := t.peers[in.Host]
	if p == nil {
		p = &peer{counts: map[UpstreamID]float64{}, traffic: map[*group]Traffic{}}
		t.peers[in.Host] = p
	}
	if in.Epoch < p.epoch || (in.Epoch == p.epoch && at.Before(p.reportedAt)) {
		return
	}
	p.epoch, p.reportedAt = in.Epoch, at
	t.setPeerCounts(p, in.InFlight)
	t.setPeerTraffic(p, in.Traffic)
	t.updatePeersReportedAt(now)
}

// updatePeersReportedAt sets the mean time of the peers' last reports.
func (t *Table) updatePeersReportedAt(now time.Time) {
	var sum time.Duration
	for _, p := range t.peers {
		sum += min(now.Sub(p.reportedAt), peerCountMaxAge)
	}
	t.peersReportedAt = now.Add(-sum / time.Duration(max(1, len(t.peers))))
}

// setPeerCounts replaces the in-flight counts of one peer in all totals.
func (t *Table) setPeerCounts(p *peer, counts []InFlightCount) {
	for id, n := range p.counts {
		t.addPeerInFlight(id, -n)
	}
	clear(p.counts)
	for _, c := range counts {
		if c.InFlight > 0 {
			p.counts[c.ID] += c.atUpstream()
			t.addPeerInFlight(c.ID, c.atUpstream())
		}
	}
}

// setPeerTraffic replaces the traffic of one peer in all totals.
func (t *Table) setPeerTraffic(p *peer, reports []Traffic) {
	for g, r := range p.traffic {
		g.peerQueued -= r.Queued
		g.peerResponseRate -= r.ResponseRate
		if r.ServiceTime > 0 {
			g.peerServiceTimeSum -= r.ServiceTime
			g.peerServiceTimeCount--
		}
	}
	clear(p.traffic)
	for _, r := range reports {
		s := t.services[r.Service]
		if s == nil || s.groups[r.Region] == nil || r.Queued < 0 || !(r.ResponseRate >= 0) || r.ServiceTime < 0 {
			continue
		}
		g := s.groups[r.Region]
		if _, duplicate := p.traffic[g]; duplicate {
			continue
		}
		p.traffic[g] = r
		g.peerQueued += r.Queued
		g.peerResponseRate += r.ResponseRate
		if r.ServiceTime > 0 {
			g.peerServiceTimeSum += r.ServiceTime
			g.peerServiceTimeCount++
		}
	}
}

func (t *Table) addPeerInFlight(id UpstreamID, n float64) {
	if u := t.upstreams[id]; u != nil {
		u.addInFlight(0, n)
	}
}

// dropSilentPeers drops the counts of peers that are silent for peerTimeout
// while more than half of the peers report, or for peerExpiry. If half or more are
// silent, this host may be the partitioned one, so the last known counts stay.
func (t *Table) dropSilentPeers(now time.Time) {
	fresh := 0
	for _, p := range t.peers {
		if now.Sub(p.reportedAt) <= peerTimeout {
			fresh++
		}
	}
	halfSilent := 2*fresh <= len(t.peers)
	for host, p := range t.peers {
		age := now.Sub(p.reportedAt)
		if age > peerExpiry || (age > peerTimeout && !halfSilent) {
			t.setPeerCounts(p, nil)
			t.setPeerTraffic(p, nil)
			delete(t.peers, host)
		}
	}
}

// loadView holds the values that are common to all upstreams of a group during
// one decision.
type loadView struct {
	now                 time.Time
	serviceTime         float64 // mean seconds at the upstream
	unloadedLatency     float64 // mean seconds without queueing
	peersPerSlot        float64 // requests of peers in flight per slot, mean of the group
	freshness           float64 // weight of a peer's count for a single upstream, 0 to 1
	inFlightPerSlot     float64 // limit of requests in flight per slot
	aboveFairShare      bool    // this host exceeds fairShareSlack times its share of a full group
	belowFairShare      bool    // this host is below its fair share of the limit
	serviceTimeFraction float64 // part of own requests in flight that are at upstreams
}

// loadView returns the view of a group at the given time.
func (t *Table) loadView(now time.Time, g *group) loadView {
	v := loadView{now: now, serviceTime: max(g.latency.unloaded.mean*g.serviceTimeFraction, minServiceTime), unloadedLatency: g.latency.unloaded.mean, serviceTimeFraction: g.serviceTimeFraction, inFlightPerSlot: g.inFlightPerSlot()}
	if g.slots > 0 {
		v.peersPerSlot = g.peerInFlight / g.slots
	}
	v.belowFairShare = g.belowFairShare()
	v.aboveFairShare = g.aboveFairShare()
	v.freshness = t.freshness(now, g)
	return v
}

// freshness returns the weight of peers' counts per upstream by their age at the
// time a request arrives there. After about one service time, the counts of a
// single upstream describe requests that have finished, while the total of the
// group changes slowly.
func (t *Table) freshness(now time.Time, g *group) float64 {
	latency := g.latency.unloaded.mean
	age := now.Sub(t.peersReportedAt)
	if age > peerCountMaxAge || latency <= 0 {
		return 0
	}
	serviceTime := latency * g.serviceTimeFraction
	return math.Exp(-(age.Seconds() + (latency-serviceTime)/2) / serviceTime)
}

// inFlight estimates the requests in flight at an upstream over all entry hosts.
// Own requests are scaled to the part that is at the upstream. Those of peers
// are the mean of the group, corrected by the counts of this upstream weighted by
// freshness, or for a cold upstream its counts alone. The load that the upstream
// reports is blended in with reportedLoadWeight.
func (v *loadView) inFlight(u *upstream) float64 {
	average := v.peersPerSlot * u.slots
	if !u.ramp.warm {
		average = u.peerInFlight
	}
	estimate := float64(u.ownInFlight)*v.serviceTimeFraction + average + (u.peerInFlight-average)*v.freshness
	if weight := v.reportedLoadWeight(u); weight > 0 {
		estimate = max(float64(u.ownInFlight)*v.serviceTimeFraction, estimate+(u.reportedLoad*u.slots-estimate)*weight)
	}
	return estimate
}

// reportedLoadWeight returns the weight of an upstream's reported load. It falls
// from reportWeight to zero over reportLifetimeServiceTimes, when the reported
// requests are done. Zero or less means no weight.
func (v *loadView) reportedLoadWeight(u *upstream) float64 {
	age := v.now.Sub(u.announcedAt).Seconds() / v.serviceTime
	return reportWeight * (1 - age/reportLifetimeServiceTimes)
}

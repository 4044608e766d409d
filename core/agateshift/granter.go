package agateshift

import (
	"slices"
	"time"

	"agategate/core/agateinventory"
)

const (
	// hysteresis is the relative change up to which a grant is left as it is.
	// It keeps noise in the requested rates from changing all grants.
	hysteresis = 0.1
	// allocationTTL is how long an allocation is reused unless a grant request
	// changed.
	allocationTTL = 50 * time.Millisecond
)

// Config holds the settings of a Granter.
type Config struct {
	// ElectedAt is when this leader was elected.
	ElectedAt time.Time
	// Term increases with each election.
	Term uint64
	// GrantDuration is the validity of a grant; default 2 s. It must not be
	// shorter than that of earlier granters, unless StartupDelay covers their
	// grants.
	GrantDuration time.Duration
	// StartupDelay is how long after ElectedAt no grant is issued, so that the
	// grants of the previous leader have expired. The default is the grant
	// duration with the maximum clock drift, plus one second in which traffic
	// sent under the last of them still counts.
	StartupDelay time.Duration
	// MaxReportAge is the age above which the capacity in a report is no longer
	// used; default 1.5 s.
	MaxReportAge time.Duration
}

// Granter allocates overflow to the entry hosts. It is not safe for concurrent
// use. A process that loses leadership must stop calling it, and the leader
// lease must be checked right before each call of Grant.
type Granter struct {
	cfg          Config
	readyAt      time.Time
	latestTime   time.Time
	inv          *agateinventory.Inventory
	hosts        hosts
	flows        map[flowKey]*flow
	destinations map[destinationKey]*destination
	links        map[[2]string]*link
}

// hosts holds the region of each entry host in the inventory, and the number of
// entry hosts in each region.
type hosts struct {
	regionOf      map[string]string
	countByRegion map[string]int
}

// NewGranter returns a Granter that denies all grant requests until StartupDelay
// has passed and Configure was called.
func NewGranter(cfg Config) *Granter {
	if cfg.GrantDuration <= 0 {
		cfg.GrantDuration = DefaultGrantDuration
	}
	if cfg.StartupDelay <= 0 {
		cfg.StartupDelay = time.Duration(float64(cfg.GrantDuration)*(1+MaxClockDrift)) + capWindow
	}
	if cfg.MaxReportAge <= 0 {
		cfg.MaxReportAge = DefaultMaxReportAge
	}
	return &Granter{
		cfg:          cfg,
		readyAt:      cfg.ElectedAt.Add(cfg.StartupDelay),
		latestTime:   cfg.ElectedAt,
		inv:          &agateinventory.Inventory{},
		flows:        map[flowKey]*flow{},
		destinations: map[destinationKey]*destination{},
		links:        map[[2]string]*link{},
	}
}

// Configure applies an inventory. Grants that have not expired still count.
func (g *Granter) Configure(now time.Time, inv *agateinventory.Inventory) {
	g.advanceClock(now)
	g.inv = inv
	g.hosts = hosts{regionOf: map[string]string{}, countByRegion: map[string]int{}}
	for _, h := range inv.Hosts {
		g.hosts.regionOf[h.Name] = h.Region
		g.hosts.countByRegion[h.Region]++
	}
	for _, f := range g.flows {
		f.allowed = false
	}
	g.prune(inv)
	for _, s := range inv.Shifts {
		f := g.flow(flowKey{s.Service, s.From, s.To})
		f.allowed = s.Allow && s.From != s.To
		f.requestCap = sanitize(s.MaxRequestRate)
		f.byteCap = unlimited // unlike a request cap of 0, a byte cap of 0 is no limit
		if s.MaxByteRate > 0 {
			f.byteCap = s.MaxByteRate
		}
	}
	for _, l := range g.links {
		l.byteCap = unlimited
	}
	for _, l := range inv.Links {
		g.link(l.From, l.To).byteCap = sanitize(l.ByteRate)
	}
	g.invalidate()
}

// prune drops the flows without a rule whose grants have all expired.
func (g *Granter) prune(inv *agateinventory.Inventory) {
	for k, f := range g.flows {
		f.expire(g.latestTime)
		if len(f.usages) > 0 || inv.Shift(k.service, k.from, k.to) != nil {
			continue
		}
		delete(g.flows, k)
		f.destination.flows = removeFlow(f.destination.flows, f)
		f.link.flows = removeFlow(f.link.flows, f)
		if len(f.destination.flows) == 0 {
			delete(g.destinations, f.destination.key)
		}
		if len(f.link.flows) == 0 {
			delete(g.links, [2]string{k.from, k.to})
		}
	}
}

func removeFlow(flows []*flow, f *flow) []*flow {
	return slices.DeleteFunc(flows, func(other *flow) bool { return other == f })
}

// invalidate has all allocations recomputed before the next grant.
func (g *Granter) invalidate() {
	for _, d := range g.destinations {
		d.allocatedAt = time.Time{}
	}
	for _, l := range g.links {
		l.allocatedAt = time.Time{}
	}
}

func (g *Granter) flow(k flowKey) *flow {
	f := g.flows[k]
	if f == nil {
		f = &flow{
			key:         k,
			destination: g.destination(destinationKey{k.service, k.to}),
			link:        g.link(k.from, k.to),
			requests:    map[processKey]*processRequest{},
			usages:      map[processKey]*processUsage{},
		}
		f.destination.flows = append(f.destination.flows, f)
		f.link.flows = append(f.link.flows, f)
		g.flows[k] = f
	}
	return f
}

func (g *Granter) destination(k destinationKey) *destination {
	d := g.destinations[k]
	if d == nil {
		d = &destination{key: k, reports: map[string]*report{}}
		g.destinations[k] = d
	}
	return d
}

func (g *Granter) link(from, to string) *link {
	l := g.links[[2]string{from, to}]
	if l == nil {
		l = &link{byteCap: unlimited}
		g.links[[2]string{from, to}] = l
	}
	return l
}

// advanceClock returns the latest time seen. If the clock goes back, grants only
// count for longer.
func (g *Granter) advanceClock(now time.Time) time.Time {
	if now.After(g.latestTime) {
		g.latestTime = now
	}
	return g.latestTime
}

// Report records the load and capacity that an entry host reports. Reports with
// invalid rates are ignored, and so are reports about services and regions that
// are not the destination of a shift rule.
func (g *Granter) Report(now time.Time, host string, reports []LoadReport) {
	now = g.advanceClock(now)
	for _, r := range reports {
		validCapacity := r.Capacity == sanitize(r.Capacity) || r.Capacity == UnknownCapacity
		if !validCapacity || r.Demand != sanitize(r.Demand) {
			continue
		}
		if d := g.destinations[destinationKey{r.Service, r.Region}]; d != nil {
			d.addReport(now, host, r)
		}
	}
}

// Grant replies to a grant request. A denied request gets rates of 0 and the
// reason. A grant is counted for its duration and one more second, whether or not
// the holder receives it.
func (g *Granter) Grant(now time.Time, req GrantRequest) Grant {
	now = g.advanceClock(now)
	out := Grant{
		Term: g.cfg.Term, Host: req.Host, Epoch: req.Epoch, RequestID: req.ID,
		Service: req.Service, From: req.From, To: req.To, Duration: g.cfg.GrantDuration,
	}
	f := g.flows[flowKey{req.Service, req.From, req.To}]
	switch {
	case f == nil || !f.allowed:
		out.Reason = "no-rule"
	case now.Before(g.readyAt):
		out.Reason = "new-granter"
	default:
		g.grant(now, f, req, &out)
	}
	return out
}

func (g *Granter) grant(now time.Time, f *flow, req GrantRequest, out *Grant) {
	for _, other := range f.destination.flows {
		other.expire(now)
	}
	for _, other := range f.link.flows {
		other.expire(now)
	}
	request, changed := f.recordRequest(now, req)
	g.allocateRequests(now, f.destination, changed)
	g.allocateBytes(now, f.link, changed)

	p := processKey{req.Host, req.Epoch}
	current, latest := f.processUsage(p)
	headroom, reason := f.destination.headroom(now, g.targetUtilization(f.key.to))
	freeRequests := min(f.requestCap-f.grantedRequests, headroom-f.destination.granted) + current.requests
	freeBytes := min(f.byteCap-f.grantedBytes, f.link.byteCap-f.link.grantedBytes) + current.bytes
	requests := resolveClaim(request.requests, latest.requests, freeRequests)
	bytes := resolveClaim(request.bytes, latest.bytes, freeBytes)
	// Without a byte limit, the byte rate is not divided among the processes.
	if f.byteCap >= unlimited && f.link.byteCap >= unlimited {
		bytes = unlimited
	}
	byteRate := rateForUsage(bytes, request.maxRequestBytes)
	if requests < minRequestUsage || byteRate <= 0 {
		out.Reason = f.denialReason(headroom, reason, byteRate)
		return
	}
	out.RequestRate, out.ByteRate, out.MaxRequestBytes = rateForUsage(requests, minRequestBurst), byteRate, request.maxRequestBytes
	out.Reason = "granted"
	f.issue(&issuedGrant{process: p, countedUntil: now.Add(g.cfg.GrantDuration + capWindow), requests: requests, bytes: bytes})
}

// processUsage returns the usage of a process and its latest grant.
func (f *flow) processUsage(p processKey) (processUsage, issuedGrant) {
	u := f.usages[p]
	if u == nil {
		return processUsage{}, issuedGrant{}
	}
	return *u, *u.latest
}

// denialReason returns the reason for a denied grant: "bytes", "cap", or the
// headroomReason if the headroom is the limit.
func (f *flow) denialReason(headroom float64, headroomReason string, byteRate float64) string {
	switch {
	case byteRate <= 0:
		return "bytes"
	case f.requestCap < headroom:
		return "cap"
	}
	return headroomReason
}

// resolveClaim returns the usage to grant for a claim: its allocation, but at
// most what is free. The latest grant is kept if it is still free and neither the
// requested nor the allocated amount differs from it by more than the hysteresis.
func resolveClaim(c claim, latest, free float64) float64 {
	if latest > 0 && latest <= free && !exceedsHysteresis(latest, c.requested) && !exceedsHysteresis(latest, c.allocated) {
		return latest
	}
	return max(min(c.allocated, free), 0)
}

// targetUtilization returns the utilization up to which overflow may load a
// region.
func (g *Granter) targetUtilization(region string) float64 {
	target := g.inv.TargetUtilization
	if target <= 0 {
		target = agateinventory.DefaultTargetUtilization
	}
	for _, d := range g.inv.Drains {
		if d.Kind == agateinventory.DrainRegion && d.Name == region {
			target *= 1 - drainShare(d.Share)
		}
	}
	return target
}

// drainShare returns the share of a drain. A drain without a share is a full
// drain.
func drainShare(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return min(share, 1)
}

// allocateRequests divides the request cap of each flow to a destination among
// the requesting processes, and then the destination's headroom among all of
// them.
func (g *Granter) allocateRequests(now time.Time, d *destination, changed bool) {
	if !changed && now.Sub(d.allocatedAt) < allocationTTL {
		return
	}
	d.allocatedAt = now
	d.refresh(now, &g.hosts, g.cfg.MaxReportAge)
	headroom, _ := d.headroom(now, g.targetUtilization(d.key.region))
	var all []*claim
	for _, f := range d.flows {
		f.dropStaleRequests(now.Add(-g.cfg.GrantDuration))
		claims := make([]*claim, 0, len(f.requests))
		for _, request := range f.requests {
			claims = append(claims, &request.requests)
		}
		all = append(all, allocateFlow(claims, f.requestCap, minRequestUsage)...)
	}
	reallocate(all, headroom, minRequestUsage)
}

// allocateBytes divides the byte cap of each flow on a link in the same manner,
// and then the link's capacity.
func (g *Granter) allocateBytes(now time.Time, l *link, changed bool) {
	if !changed && now.Sub(l.allocatedAt) < allocationTTL {
		return
	}
	l.allocatedAt = now
	var all []*claim
	minShare := 0.0
	for _, f := range l.flows {
		claims := make([]*claim, 0, len(f.requests))
		for _, request := range f.requests {
			claims = append(claims, &request.bytes)
		}
		all = append(all, allocateFlow(claims, f.byteCap, f.minByteUsage())...)
		minShare = max(minShare, f.minByteUsage())
	}
	reallocate(all, l.byteCap, minShare)
}

// allocateFlow divides the cap of one flow among its claims and returns them.
func allocateFlow(claims []*claim, pool, minShare float64) []*claim {
	allocate(claims, pool, minShare)
	return claims
}

// reallocate divides a pool among claims, with the previous allocation of each
// as the upper bound for the new one. It leaves the requested amounts unchanged.
func reallocate(claims []*claim, pool, minShare float64) {
	requested := make([]float64, len(claims))
	reordered := append([]*claim(nil), claims...)
	for i, c := range claims {
		requested[i] = c.requested
		c.requested = c.allocated
	}
	allocate(reordered, max(pool, 0), minShare)
	for i, c := range claims {
		c.requested = requested[i]
	}
}

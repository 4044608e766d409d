package agatefront

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"agategate/core/agatebalance"
	"agategate/io/agateupstream"
)

// linkCheckInterval is how often the host checks whether its own links to the
// upstreams may have failed.
const linkCheckInterval = 100 * time.Millisecond

// referenceTimeout is the time in which a control replica accepts a connection if the
// host is not saturated: several round trips between regions, and half of the time
// that an upstream has.
const referenceTimeout = agateupstream.DefaultConnectTimeout / 2

const (
	// crashCheckTimeout is how long the host waits for a response of another upstream
	// before it probes some, when an upstream seems to have crashed.
	crashCheckTimeout  = 100 * time.Millisecond
	crashCheckInterval = 10 * time.Millisecond
)

// watch calls check at an interval until the host stops.
func (f *Front) watch(interval time.Duration, check func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
			check()
		}
	}
}

// checkLinks probes upstreams while none responds. Probes are connections that later
// requests use.
func (f *Front) checkLinks() {
	f.mu.Lock()
	targets := f.table.LinkProbes(time.Now())
	f.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	f.forwardWaiting()
	start := time.Now()
	reference := make(chan bool, 1)
	go func() { reference <- f.reachesReplica() }()
	reached := f.probe(targets)
	saturated := !<-reference
	f.mu.Lock()
	heard, connected := f.table.LinkEvidence()
	f.table.RecordProbes(time.Now(), reached, saturated)
	changed := f.updateLinksLost()
	f.mu.Unlock()
	if changed {
		f.control.requestHeartbeats()
	}
	if lost := f.linksLost.Load(); changed || !lost {
		f.log.Info("links checked", "kind", "links", "lost", lost, "probes", len(targets), "reached", reached, "saturated", saturated,
			"heard", formatAge(heard), "connected", formatAge(connected), "took", time.Since(start).Round(time.Millisecond))
	}
}

// checkServices probes the upstreams of services that can't be connected to.
func (f *Front) checkServices() {
	f.mu.Lock()
	probes := f.table.ServiceProbes(time.Now())
	f.mu.Unlock()
	f.forwardWaiting()
	var wg sync.WaitGroup
	for _, p := range probes {
		wg.Go(func() { f.checkService(p) })
	}
	wg.Wait()
}

func (f *Front) checkService(p agatebalance.ServiceProbe) {
	start := time.Now()
	reference := make(chan bool, 1)
	go func() { reference <- f.reachesReplica() }()
	f.mu.Lock()
	lost := f.table.ServiceLinksLost(p.Service)
	f.mu.Unlock()
	reached := f.probe(p.Targets)
	saturated := !<-reference
	f.mu.Lock()
	f.table.RecordServiceProbe(time.Now(), p.Service, reached, saturated)
	changed := f.table.ServiceLinksLost(p.Service) != lost
	linksChanged := f.updateLinksLost()
	f.mu.Unlock()
	if linksChanged {
		f.control.requestHeartbeats()
	}
	if changed {
		f.log.Info("service links checked", "kind", "links", "service", p.Service, "lost", reached == 0, "probes", len(p.Targets),
			"reached", reached, "saturated", saturated, "took", time.Since(start).Round(time.Millisecond))
	}
}

// formatAge formats the time since an event for the log, or "never".
func formatAge(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return time.Since(at).Round(time.Millisecond).String()
}

// probe opens connections to upstreams and returns how many could be opened.
func (f *Front) probe(targets []agatebalance.UpstreamInfo) int {
	var reached atomic.Int64
	var wg sync.WaitGroup
	for _, u := range targets {
		wg.Go(func() {
			took, err := f.pool.Connect(f.ctx, u.ID, f.cfg.UpstreamAddr(u.Address))
			if err != nil {
				return
			}
			reached.Add(1)
			f.connected(u.ID, "", took) // at once: the other probes may go on for long
		})
	}
	wg.Wait()
	return int(reached.Load())
}

// reachesReplica reports whether a control replica that the host follows accepts a
// connection within referenceTimeout, as a comparison for the upstreams.
func (f *Front) reachesReplica() bool {
	dialer := net.Dialer{Timeout: referenceTimeout}
	reached := make(chan bool)
	followed := f.control.followed()
	for _, addr := range followed {
		go func() {
			c, err := dialer.DialContext(f.ctx, "tcp", addr.String())
			if err == nil {
				_ = c.Close() // it carried nothing
			}
			reached <- err == nil
		}()
	}
	found := false
	for range followed {
		found = <-reached || found
	}
	return found
}

// linksIntact reports whether the host has links to upstreams after a failure at
// failedAt: another upstream has responded since, or accepts a connection. It blocks
// for up to crashCheckTimeout and the time of one probe.
func (f *Front) linksIntact(failedAt time.Time) bool {
	poll := time.NewTicker(crashCheckInterval)
	defer poll.Stop()
	for time.Since(failedAt) < crashCheckTimeout {
		f.mu.Lock()
		heard := f.table.HeardSince(failedAt)
		f.mu.Unlock()
		if heard || f.linksLost.Load() {
			return heard
		}
		select {
		case <-f.ctx.Done():
			return false
		case <-poll.C:
		}
	}
	f.mu.Lock()
	targets := f.table.ProbeTargets()
	f.mu.Unlock()
	return f.probe(targets) > 0
}

// updateLinksLost takes over Table.LinksLost and reports whether it changed; f.mu must
// be held. After a change the caller requests heartbeats, without f.mu: the control
// group then sends callers to other hosts, or here again.
func (f *Front) updateLinksLost() (changed bool) {
	lost := f.table.LinksLost()
	return f.linksLost.Swap(lost) != lost
}

package agatecontrol

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"agategate/core/agateinventory"
	"agategate/io/agatemetrics"
	"agategate/io/agateops"
	"agategate/io/agatereplica"
)

// serviceRegion identifies a service in a region.
type serviceRegion struct {
	service string
	region  string
}

// upstreamSums aggregates the upstream usage that entry hosts report.
type upstreamSums struct {
	sums map[serviceRegion]*agateops.ServiceCapacity
}

func newUpstreamSums() *upstreamSums {
	return &upstreamSums{sums: make(map[serviceRegion]*agateops.ServiceCapacity)}
}

// add adds the usage of one host. Each host reports the total capacity of a
// service in a region, so capacity is not summed; demand and requests in flight
// are per host.
func (s *upstreamSums) add(now time.Time, h session) {
	if now.Sub(h.lastHeartbeat) > sessionLease {
		return
	}
	for _, u := range h.heartbeat.Usage {
		p := serviceRegion{u.Service, u.Region}
		sum := s.sums[p]
		if sum == nil {
			sum = &agateops.ServiceCapacity{Service: u.Service, Region: u.Region}
			s.sums[p] = sum
		}
		sum.Capacity = max(sum.Capacity, u.Capacity)
		sum.Demand += u.Demand
		sum.InFlight += u.Inflight
	}
}

// list returns the sums ordered by service and region.
func (s *upstreamSums) list() []agateops.ServiceCapacity {
	out := make([]agateops.ServiceCapacity, 0, len(s.sums))
	for _, sum := range s.sums {
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b agateops.ServiceCapacity) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// drains returns the drains of an accepted document.
func (c *Control) drains(document []byte) []agateops.Drain {
	inv, problems := agateinventory.Parse("revision", document)
	if len(problems) > 0 {
		return nil
	}
	out := make([]agateops.Drain, 0, len(inv.Drains))
	for _, d := range inv.Drains {
		out = append(out, agateops.Drain{Kind: string(d.Kind), Name: d.Name, Share: d.Share})
	}
	return out
}

// maxAppliedTimes is the number of revisions whose time of application is kept.
const maxAppliedTimes = 1024

// appliedTimes records when revisions were applied here, by this process's
// clock. It is safe for concurrent use.
type appliedTimes struct {
	mu    sync.Mutex
	times map[uint64]time.Time
	last  uint64
}

// record stores the current time as that at which a revision was applied.
func (a *appliedTimes) record(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.last {
		return
	}
	if a.times == nil {
		a.times = make(map[uint64]time.Time)
	}
	a.last = revision
	a.times[revision] = time.Now()
	delete(a.times, revision-maxAppliedTimes)
}

func (a *appliedTimes) at(revision uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.times[revision]
	return t, ok
}

// metrics counts the events of a control process.
type metrics struct {
	set *agatemetrics.Set
}

func (m *metrics) countChange(outcome string) {
	m.set.Counter(agatemetrics.ConfigChanges, outcome).Add(1)
}

// countProposal counts the outcome of a proposal.
func (m *metrics) countProposal(err error) {
	var notLeader *agatereplica.NotLeaderError
	outcome := "applied"
	switch {
	case errors.As(err, &notLeader):
		outcome = "elsewhere"
	case errors.Is(err, agatereplica.ErrUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		outcome = "unknown"
	case err != nil:
		outcome = "refused"
	}
	m.set.Counter(agatemetrics.Proposals, outcome).Add(1)
}

// propagationTime measures how long it takes until accepted revisions are in
// force on all entry hosts. Only the task that publishes the metrics uses it.
type propagationTime struct {
	last uint64 // newest measured revision
}

// observe records the propagation time of the newest revision once all active
// hosts have it in force.
func (s *propagationTime) observe(c *Control, active []session) {
	revision := c.machine.Config().Revision
	at, known := c.applied.at(revision)
	if !known || revision <= s.last || len(active) == 0 {
		return
	}
	took := time.Duration(0)
	for _, h := range active {
		if h.reportedRevision < revision {
			return
		}
		took = max(took, h.reportedSince.Sub(at))
	}
	s.last = revision
	c.metrics.set.Histogram(agatemetrics.PropagationTime, "").Record(took)
}

// activeSessions returns the entry hosts with a recent heartbeat to this
// replica.
func (c *Control) activeSessions(now time.Time) []session {
	return slices.DeleteFunc(c.sessions.all(), func(h session) bool { return now.Sub(h.lastHeartbeat) > sessionLease })
}

// publishMetrics updates the gauges of the replica's state.
func (c *Control) publishMetrics() {
	r := c.replica.Load()
	if r == nil {
		return
	}
	st := r.Status()
	leader := 0.0
	if c.isLeader() {
		leader = 1
	}
	now := time.Now()
	active := c.activeSessions(now)
	if c.isLeader() {
		c.propagation.observe(c, active)
	}
	set := c.metrics.set
	set.Gauge(agatemetrics.Sessions, "").Set(float64(len(active)))
	set.Gauge(agatemetrics.OverflowGrants, "").Set(float64(len(c.activeGrants(now))))
	set.Gauge(agatemetrics.IsLeader, "").Set(leader)
	set.Gauge(agatemetrics.Term, "").Set(float64(st.Term))
	set.Gauge(agatemetrics.CommitIndex, "").Set(float64(st.Commit))
	set.Gauge(agatemetrics.AppliedIndex, "").Set(float64(st.Applied))
	set.Gauge(agatemetrics.LogBytes, "").Set(float64(st.LogBytes))
	set.Gauge(agatemetrics.Snapshots, "").Set(float64(st.Snapshots))
	set.Gauge(agatemetrics.SnapshotBytes, "").Set(float64(st.SnapshotBytes))
	set.Gauge(agatemetrics.ConfigRevision, "").Set(float64(c.machine.Config().Revision))
	counts := c.machine.Counts()
	records := counts.Claimed + counts.Done + counts.Unknown + counts.Refused
	set.Gauge(agatemetrics.ActionRecords, "").Set(float64(records))
	set.Gauge(agatemetrics.ActionRecordBytes, "").Set(float64(counts.Bytes))
}

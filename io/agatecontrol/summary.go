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

// place is a service in a region.
type place struct {
	service string
	region  string
}

// upstreamSums adds up what entry hosts report of the upstreams.
type upstreamSums struct {
	sums map[place]*agateops.ServiceCapacity
}

func newUpstreamSums() *upstreamSums {
	return &upstreamSums{sums: make(map[place]*agateops.ServiceCapacity)}
}

// add counts one host. Each host sees the whole capacity of a place, so that
// is not summed; demand and requests in flight are each host's own.
func (s *upstreamSums) add(now time.Time, h session) {
	if now.Sub(h.at) > sessionLease {
		return
	}
	for _, u := range h.beat.Usage {
		p := place{u.Service, u.Region}
		sum := s.sums[p]
		if sum == nil {
			sum = &agateops.ServiceCapacity{Service: u.Service, Region: u.Region}
			s.sums[p] = sum
		}
		sum.Capacity = max(sum.Capacity, u.Capacity)
		sum.Demand += u.Demand
		sum.Inflight += u.Inflight
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

// drains lists the drains of a document that was accepted.
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

// acceptedKeep is the number of revisions whose time of acceptance is kept.
const acceptedKeep = 1024

// acceptedTimes are the times, by this process's clock, at which revisions
// were applied here. They are safe for concurrent use.
type acceptedTimes struct {
	mu    sync.Mutex
	times map[uint64]time.Time
	last  uint64
}

// note takes the revision that is in force now.
func (a *acceptedTimes) note(revision uint64) {
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
	delete(a.times, revision-acceptedKeep)
}

func (a *acceptedTimes) at(revision uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.times[revision]
	return t, ok
}

// metrics counts what a control process does.
type metrics struct {
	set *agatemetrics.Set
}

func (m *metrics) change(outcome string) {
	m.set.Counter(agatemetrics.ConfigChanges, outcome).Add(1)
}

// proposed counts the end of a proposal.
func (m *metrics) proposed(err error) {
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

// spreadTime measures how long accepted revisions take to be in force on all
// entry hosts. The duty that publishes the metrics owns it.
type spreadTime struct {
	last uint64 // newest revision that was measured
}

// observe records the time of the newest revision once all present hosts have
// it in force.
func (s *spreadTime) observe(c *Control, present []session) {
	revision := c.machine.Config().Revision
	at, known := c.accepted.at(revision)
	if !known || revision <= s.last || len(present) == 0 {
		return
	}
	took := time.Duration(0)
	for _, h := range present {
		if h.inForce < revision {
			return
		}
		took = max(took, h.since.Sub(at))
	}
	s.last = revision
	c.metrics.set.Histogram(agatemetrics.PropagationTime, "").Record(took)
}

// present lists the entry hosts with a recent heartbeat to this replica.
func (c *Control) present(now time.Time) []session {
	return slices.DeleteFunc(c.sessions.all(), func(h session) bool { return now.Sub(h.at) > sessionLease })
}

// publish shows the replica's state.
func (c *Control) publish() {
	r := c.replica.Load()
	if r == nil {
		return
	}
	st := r.Status()
	leads := 0.0
	if c.leads() {
		leads = 1
	}
	now := time.Now()
	present := c.present(now)
	if c.leads() {
		c.spreadTime.observe(c, present)
	}
	set := c.metrics.set
	set.Gauge(agatemetrics.Sessions, "").Set(float64(len(present)))
	set.Gauge(agatemetrics.OverflowGrants, "").Set(float64(len(c.granted(now))))
	set.Gauge(agatemetrics.IsLeader, "").Set(leads)
	set.Gauge(agatemetrics.Term, "").Set(float64(st.Term))
	set.Gauge(agatemetrics.CommitIndex, "").Set(float64(st.Commit))
	set.Gauge(agatemetrics.AppliedIndex, "").Set(float64(st.Applied))
	set.Gauge(agatemetrics.ConfigRevision, "").Set(float64(c.machine.Config().Revision))
	counts := c.machine.Counts()
	records := counts.Claimed + counts.Done + counts.Unknown + counts.Refused
	set.Gauge(agatemetrics.ActionRecords, "").Set(float64(records))
	set.Gauge(agatemetrics.ActionRecordBytes, "").Set(float64(counts.Bytes))
}

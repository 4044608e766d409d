package agatecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"agategate/core/agateplan"
	"agategate/core/agatequota"
	"agategate/internal/agateclock"
	"agategate/io/agateclient"
	"agategate/io/agateops"
	"agategate/io/agatewire"
)

// quotaTrustPeriod is how long a replica that knows no leader still lends tokens by the
// plan that it has. It covers an election.
const quotaTrustPeriod = 3 * time.Second

// defaultQuotaTolerance applies if Config.Quota is the zero value.
var defaultQuotaTolerance = agatequota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1}

// quotaBank is the replica's bank for the limits of workspaces, in memory only. It is
// safe for concurrent use.
type quotaBank struct {
	mu       sync.Mutex
	bank     *agatequota.Bank
	revision uint64   // of the plan that the bank is configured for
	voters   []uint64 // the replicas that it is configured for
	ledAt    time.Duration
}

// lendQuotas answers what a host asks about the limits of workspaces.
func (c *Control) lendQuotas(host string, rows []*agatewire.QuotaAsk) []*agatewire.QuotaGrant {
	q := &c.quotas
	now := agateclock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	lends := c.configureQuotas(now)
	grants := make([]*agatewire.QuotaGrant, 0, len(rows))
	for _, row := range rows {
		ask := agateclient.FromWireAsk(row)
		g := agatequota.UnknownGrant(ask)
		if lends {
			g = q.bank.Lend(now, host, ask)
		}
		grants = append(grants, agateclient.ToWireGrant(g))
	}
	return grants
}

// configureQuotas brings the bank up to date with the plan and the membership, and
// reports whether it may lend. c.quotas.mu must be held.
func (c *Control) configureQuotas(now time.Duration) bool {
	q := &c.quotas
	r := c.replica.Load()
	if r == nil {
		return false
	}
	st := r.Status()
	if st.Leader != 0 {
		q.ledAt = now
	}
	var voters []uint64
	for _, m := range st.Members {
		if !m.Learner {
			voters = append(voters, m.ID)
		}
	}
	cur := c.machine.Config()
	if cur.Revision != q.revision || !slices.Equal(voters, q.voters) {
		if !agateplan.IsDocument(cur.Document) {
			return false
		}
		doc, err := agateplan.DecodeDocument(cur.Document)
		if err != nil {
			c.log.Warn("plan cannot be read for its limits", "kind", "quota", "revision", cur.Revision, "error", err)
			return false
		}
		if q.bank == nil {
			q.bank = agatequota.NewBank(agatequota.BankConfig{Replica: c.id, Tolerance: c.cfg.Quota})
		}
		limits := quotaLimits(&doc.Plan)
		q.bank.Configure(now, limits, voters)
		q.revision, q.voters = cur.Revision, voters
		if len(limits) > 0 {
			c.log.Info("limits of workspaces in force", "kind", "quota", "revision", cur.Revision, "workspaces", len(limits), "banks", len(voters))
		}
	}
	return q.bank != nil && now-q.ledAt < quotaTrustPeriod
}

// quotaLimits returns the limits of all workspaces of a plan, including those without
// one.
func quotaLimits(p *agateplan.Plan) (limits []agatequota.Limit) {
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		limits = append(limits, agatequota.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	return limits
}

// quotaStatus returns the limits of workspaces and this replica's part.
func (c *Control) quotaStatus() (out []agateops.FleetLimit) {
	q := &c.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bank == nil {
		return nil
	}
	for _, a := range q.bank.Status(agateclock.Now()) {
		out = append(out, agateops.FleetLimit{
			Workspace: a.Limit.Workspace, Rate: a.Limit.Rate, Burst: a.Limit.Burst, Left: a.Level, Lent: a.Outstanding,
		})
	}
	return out
}

// prepareQuotas configures the bank before hosts ask, so that it has collected tokens by
// then.
func (c *Control) prepareQuotas(context.Context) {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.configureQuotas(agateclock.Now())
}

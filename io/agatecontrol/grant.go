package agatecontrol

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"agategate/core/agateinventory"
	"agategate/core/agatequorum"
	"agategate/core/agateshift"
	"agategate/io/agateops"
	"agategate/io/agatereplica"
	"agategate/io/agatewire"
)

// grantState holds the leader's granter, which decides how many requests and
// bytes per second each host may send to other regions, and the grants in force.
// It is reset with each term. It is safe for concurrent use.
type grantState struct {
	mu       sync.Mutex
	term     uint64
	revision uint64
	granter  *agateshift.Granter
	grants   map[grantKey]agateops.Grant
}

type grantKey struct {
	host, service, from, to string
}

// grant records a host's demand and answers its requests for overflow. The
// caller must have confirmed that this replica is the leader.
func (c *Control) grant(now time.Time, req *agatewire.BeatAsk) []*agatewire.Grant {
	g := &c.grantState
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.prepareGranter(now, c.replica.Load().Status()) {
		return nil
	}
	host := req.Sender.Host
	g.granter.Report(now, host, toLoadReports(req))
	out := make([]*agatewire.Grant, 0, len(req.Asks))
	for _, a := range req.Asks {
		granted := g.granter.Grant(now, agateshift.GrantRequest{
			Host:            host,
			Epoch:           req.Sender.Epoch,
			ID:              a.Id,
			Service:         a.Service,
			From:            a.From,
			To:              a.To,
			RequestRate:     a.Requests,
			ByteRate:        a.Bytes,
			MaxRequestBytes: a.Size,
		})
		c.recordGrant(now, granted)
		out = append(out, &agatewire.Grant{
			Ask:      granted.RequestID,
			Term:     granted.Term,
			Service:  granted.Service,
			From:     granted.From,
			To:       granted.To,
			Requests: granted.RequestRate,
			Bytes:    granted.ByteRate,
			Duration: int64(granted.Duration),
			Reason:   granted.Reason,
		})
	}
	return out
}

// prepareGranter creates a granter for a new term and updates it to the newest
// configuration. It returns false if this replica is not the leader or the
// configuration cannot be read. Role and term must be of one status: a replica that
// loses the leadership between two readings would grant in the term of its successor.
// c.grantState.mu must be held.
func (c *Control) prepareGranter(now time.Time, st agatereplica.Status) bool {
	g := &c.grantState
	if st.Role != agatequorum.Leader {
		return false
	}
	if g.granter == nil || g.term != st.Term {
		g.granter = agateshift.NewGranter(agateshift.Config{ElectedAt: now, Term: st.Term})
		g.term = st.Term
		g.revision = 0
		g.grants = make(map[grantKey]agateops.Grant)
	}
	cur := c.machine.Config()
	if cur.Revision == g.revision {
		return true
	}
	inv, problems := agateinventory.Parse("revision", cur.Document)
	if len(problems) > 0 {
		c.log.Error("accepted configuration cannot be read", "revision", cur.Revision, "error", problems.Error())
		return false
	}
	g.granter.Configure(now, inv)
	g.revision = cur.Revision
	return true
}

// toLoadReports converts a host's reported usage.
func toLoadReports(req *agatewire.BeatAsk) []agateshift.LoadReport {
	var out []agateshift.LoadReport
	for _, u := range req.Usage {
		out = append(out, agateshift.LoadReport{
			Service:  u.Service,
			Region:   u.Region,
			Capacity: u.Capacity,
			Demand:   u.Demand,
		})
	}
	return out
}

// recordGrant keeps a grant for the operators' status and logs it when it
// starts, changes or ends.
func (c *Control) recordGrant(now time.Time, g agateshift.Grant) {
	k := grantKey{g.Host, g.Service, g.From, g.To}
	before, existed := c.grantState.grants[k]
	if g.RequestRate <= 0 {
		delete(c.grantState.grants, k)
	} else {
		c.grantState.grants[k] = agateops.Grant{
			Host:        g.Host,
			Service:     g.Service,
			From:        g.From,
			To:          g.To,
			RequestRate: g.RequestRate,
			ByteRate:    g.ByteRate,
			ExpiresAt:   now.Add(g.Duration),
		}
	}
	if existed != (g.RequestRate > 0) || (existed && before.RequestRate != g.RequestRate) {
		c.log.Info("grant", "kind", "shift", "service", g.Service, "choice", g.To, "reason", g.Reason,
			"from", g.From, "host", g.Host, "requests", g.RequestRate)
	}
}

// activeGrants returns the grants in force, ordered by host, service and target
// region.
func (c *Control) activeGrants(now time.Time) []agateops.Grant {
	g := &c.grantState
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []agateops.Grant
	for k, grant := range g.grants {
		if now.After(grant.ExpiresAt) {
			delete(g.grants, k)
			continue
		}
		out = append(out, grant)
	}
	slices.SortFunc(out, func(a, b agateops.Grant) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Service, b.Service), cmp.Compare(a.To, b.To))
	})
	return out
}

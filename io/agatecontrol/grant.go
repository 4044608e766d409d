package agatecontrol

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"agategate/core/agateinventory"
	"agategate/core/agateshift"
	"agategate/io/agateops"
	"agategate/io/agatewire"
)

// granter is the leader's division of overflow. It begins anew with each term
// of leadership. It is safe for concurrent use.
type granter struct {
	mu       sync.Mutex
	term     uint64
	revision uint64
	core     *agateshift.Granter
	grants   map[grantKey]agateops.Grant
}

type grantKey struct {
	host, service, from, to string
}

// grant takes a host's demand and answers its asks. The caller has confirmed
// that this replica leads.
func (c *Control) grant(now time.Time, ask *agatewire.BeatAsk) []*agatewire.Grant {
	g := &c.granter
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.prepareGranter(now) {
		return nil
	}
	host := ask.Sender.Host
	g.core.Report(now, host, demands(ask))
	out := make([]*agatewire.Grant, 0, len(ask.Asks))
	for _, a := range ask.Asks {
		granted := g.core.Grant(now, agateshift.GrantRequest{
			Host:            host,
			Epoch:           ask.Sender.Epoch,
			ID:              a.Id,
			Service:         a.Service,
			From:            a.From,
			To:              a.To,
			RequestRate:     a.Requests,
			ByteRate:        a.Bytes,
			MaxRequestBytes: a.Size,
		})
		c.noteGrant(now, granted)
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

// prepareGranter starts a granter for a new term and puts the newest
// configuration in force there. It reports false while this replica does not
// lead.
func (c *Control) prepareGranter(now time.Time) bool {
	g := &c.granter
	if !c.leads() {
		return false
	}
	term := c.replica.Load().Status().Term
	if g.core == nil || g.term != term {
		g.core = agateshift.NewGranter(agateshift.Config{ElectedAt: now, Term: term})
		g.term = term
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
	g.core.Configure(now, inv)
	g.revision = cur.Revision
	return true
}

// demands translates a host's usage.
func demands(ask *agatewire.BeatAsk) []agateshift.LoadReport {
	var out []agateshift.LoadReport
	for _, u := range ask.Usage {
		out = append(out, agateshift.LoadReport{
			Service:  u.Service,
			Region:   u.Region,
			Capacity: u.Capacity,
			Load:     u.Demand,
		})
	}
	return out
}

// noteGrant keeps a grant for operators and logs its beginning and end.
func (c *Control) noteGrant(now time.Time, g agateshift.Grant) {
	k := grantKey{g.Host, g.Service, g.From, g.To}
	before, had := c.granter.grants[k]
	if g.RequestRate <= 0 {
		delete(c.granter.grants, k)
	} else {
		c.granter.grants[k] = agateops.Grant{
			Host:     g.Host,
			Service:  g.Service,
			From:     g.From,
			To:       g.To,
			Requests: g.RequestRate,
			Bytes:    g.ByteRate,
			Until:    now.Add(g.Duration),
		}
	}
	if had != (g.RequestRate > 0) || (had && before.Requests != g.RequestRate) {
		c.log.Info("grant", "kind", "shift", "service", g.Service, "choice", g.To, "reason", g.Reason,
			"from", g.From, "host", g.Host, "requests", g.RequestRate)
	}
}

// granted returns the grants in force, ordered by host and service.
func (c *Control) granted(now time.Time) []agateops.Grant {
	g := &c.granter
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []agateops.Grant
	for k, grant := range g.grants {
		if now.After(grant.Until) {
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

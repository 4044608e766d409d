package agatecontrol

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agategate/core/agateplan"
	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// startReplica starts a control replica that is a group of its own.
func startReplica(t *testing.T) *Control {
	t.Helper()
	addr := freeAddress(t)
	c, err := Start(Config{Settings: agatesettings.Control{
		Name:     "control-1",
		Region:   "centro",
		Domain:   "centro-a",
		Data:     t.TempDir(),
		PeerAddr: addr,
		Admin:    freeAddress(t),
		Members:  []agatesettings.Member{{Name: "control-1", Address: addr}},
	}})
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.IsLeader() {
			return poll.Success()
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(10*time.Second))
	return c
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// planOf returns a plan of a version with a number of routes. label distinguishes plans
// of the same version.
func planOf(version uint64, routes int, label string) *agateplan.Document {
	p := agateplan.Plan{Version: version, Services: []agateplan.Service{{Name: "labels"}}}
	host := agateplan.VirtualHost{Name: "labels.example"}
	for i := range routes {
		host.Routes = append(host.Routes, agateplan.Route{
			Name:        fmt.Sprintf("%s-%d", label, i),
			Prefix:      fmt.Sprintf("/%s/%d/", label, i),
			Kind:        agateplan.Safe,
			Services:    []agateplan.WeightedService{{Service: "labels", Weight: 1}},
			MaxAttempts: 1,
		})
	}
	p.VirtualHosts = append(p.VirtualHosts, host)
	return &agateplan.Document{Plan: p, Source: []byte(label), SourceFormat: agateplan.SourceTOML}
}

// Guards against two changes on top of the same version that are both acknowledged: the
// second one must not replace the first, wherever in its course the first is accepted.
func TestRacingPlans(t *testing.T) {
	const (
		rounds = 60
		routes = 300
		spread = 16 // steps of the second operator's delay
	)
	c := startReplica(t)
	ctx := t.Context()
	version := uint64(1)
	assert.Equal(t, c.ApplyPlan(ctx, "first", 0, planOf(version, routes, "first")).Outcome, PlanAccepted)
	started := time.Now()
	assert.Equal(t, c.ApplyPlan(ctx, "second", 1, planOf(2, routes, "second")).Outcome, PlanAccepted)
	step := time.Since(started) / spread
	version = 2
	for round := range rounds {
		var results [2]PlanResult
		var wg sync.WaitGroup
		for i := range results {
			label := fmt.Sprintf("operator-%d-%d", i, round)
			doc := planOf(version+uint64(i)+1, routes, label)
			wg.Go(func() {
				time.Sleep(time.Duration(i*(round%spread)) * step)
				results[i] = applyUntilKnown(ctx, c, label, version, doc)
			})
		}
		wg.Wait()
		first, second := results[0].Outcome == PlanAccepted, results[1].Outcome == PlanAccepted
		assert.Assert(t, first != second, "round %d on version %d: outcomes %d and %d", round, version, results[0].Outcome, results[1].Outcome)
		doc, res := c.ReadPlan(ctx)
		assert.Equal(t, res.Outcome, PlanAccepted)
		version += 1
		if second {
			version += 1
		}
		assert.Equal(t, doc.Plan.Version, version)
	}
}

// applyUntilKnown sends a change again while its outcome is unknown.
func applyUntilKnown(ctx context.Context, c *Control, change string, base uint64, doc *agateplan.Document) PlanResult {
	for {
		res := c.ApplyPlan(ctx, change, base, doc)
		if res.Outcome != PlanUnknown || ctx.Err() != nil {
			return res
		}
	}
}

// Guards against an inventory that replaces a plan: an inventory may name a base that was
// not in force when it was checked that the group holds no plan.
func TestInventoryReplacesNoPlan(t *testing.T) {
	c := startReplica(t)
	ctx := t.Context()
	before, err := c.readConfig(ctx, "late")
	assert.NilError(t, err)
	assert.Equal(t, c.ApplyPlan(ctx, "first", 0, planOf(1, 1, "first")).Outcome, PlanAccepted)
	for base := range uint64(2) {
		res := c.replaceInventory(ctx, before, agateops.ChangeRequest{ChangeID: fmt.Sprint("late-", base), Base: base, Document: []byte("# inventory")})
		assert.Equal(t, res.Outcome, agateops.Conflict, "base %d", base)
	}
	doc, res := c.ReadPlan(ctx)
	assert.Equal(t, res.Outcome, PlanAccepted, res.Reason)
	assert.Equal(t, doc.Plan.Version, uint64(1))
}

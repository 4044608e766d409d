package agatecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"agategate/core/agateplan"
	"agategate/core/agatestate"
	"agategate/io/agatereplica"
)

// PlanOutcome is the result code of ApplyPlan and ReadPlan.
type PlanOutcome uint8

// Outcomes of ApplyPlan and ReadPlan.
const (
	// PlanUnknown means that the plan may come into force or that the call
	// failed for the given reason. A read changes nothing.
	PlanUnknown PlanOutcome = iota
	// PlanAccepted means that the plan is stored, by this or an earlier call,
	// or was read.
	PlanAccepted
	// PlanConflict means that the configuration in force does not permit the plan,
	// that another change was accepted first, or that the change id was used with
	// another plan. Reason says which.
	PlanConflict
	// PlanInvalid means that the plan or its version is not valid.
	PlanInvalid
	// PlanNotLeader means that nothing was done and the leader must be called.
	PlanNotLeader
)

// PlanResult is the result of ApplyPlan and ReadPlan. planReply converts it for
// the operators' interface, which has its own PlanResult.
type PlanResult struct {
	Outcome PlanOutcome
	// Version is the version of the plan in force, if known.
	Version uint64
	// Leader is the leader's address for agategate processes, if known. It is
	// set only with the outcome PlanNotLeader.
	Leader netip.AddrPort
	Reason string
	// checked is the revision against which the plan was checked and that it may
	// replace, and stored the one that the state machine answered. Both are 0 if
	// the change was not proposed. They are for the log.
	checked, stored uint64
}

// ApplyPlan puts a plan in force if base is the version in force. change
// identifies the operator's change: repeating an accepted change succeeds
// again.
func (c *Control) ApplyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	res := c.applyPlan(ctx, change, base, doc)
	c.log.Info("plan submitted", "kind", "change", "choice", doc.Plan.Version, "base", base, "change", change,
		"outcome", int(res.Outcome), "inforce", res.Version, "checked", res.checked, "stored", res.stored, "reason", res.Reason)
	return res
}

func (c *Control) applyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	cur, err := c.readConfig(ctx, change)
	if err != nil {
		return c.planErrorResult(err)
	}
	return c.replacePlan(ctx, cur, change, base, doc)
}

// replacePlan puts a plan in force if it may replace the configuration that was
// read, and if that is still in force.
func (c *Control) replacePlan(ctx context.Context, cur configReading, change string, base uint64, doc *agateplan.Document) PlanResult {
	inForce, err := cur.plan()
	switch {
	case errors.Is(err, errHoldsInventory):
		return PlanResult{Outcome: PlanConflict, Reason: err.Error()}
	case err != nil:
		return PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	}
	if !cur.accepted {
		if res, ok := checkPlan(inForce, base, doc); !ok {
			return res
		}
	}
	data, err := doc.Encode()
	if err != nil {
		return PlanResult{Outcome: PlanInvalid, Reason: err.Error()}
	}
	res, err := c.replaceConfig(ctx, cur, agatestate.Configure{ChangeID: change, Base: cur.base(), Document: data})
	out := PlanResult{Version: inForce.Plan.Version}
	switch {
	case err != nil:
		out = c.planErrorResult(err)
	case res.Verdict == agatestate.Accepted:
		out.Outcome, out.Version = PlanAccepted, doc.Plan.Version
	case res.Verdict == agatestate.Conflict:
		out.Outcome, out.Reason = PlanConflict, "another change was accepted first"
	case res.Verdict == agatestate.Reused:
		out.Outcome, out.Reason = PlanConflict, "the change id was used with another plan"
	default:
		out.Outcome, out.Reason = PlanInvalid, res.Verdict.String()
	}
	out.checked, out.stored = cur.Revision, res.Revision
	return out
}

// checkPlan reports whether a plan may replace the one in force. If not, the
// result says why.
func checkPlan(cur *agateplan.Document, base uint64, doc *agateplan.Document) (PlanResult, bool) {
	version := cur.Plan.Version
	if base != version {
		return PlanResult{Outcome: PlanConflict, Version: version, Reason: fmt.Sprintf("version %d is in force", version)}, false
	}
	if version > 0 && cur.SourceFormat != doc.SourceFormat {
		return PlanResult{Outcome: PlanConflict, Version: version, Reason: "the plan in force was written in another format, through another interface"}, false
	}
	if err := doc.Plan.Check(); err != nil {
		return PlanResult{Outcome: PlanInvalid, Version: version, Reason: err.Error()}, false
	}
	if doc.Plan.Version <= version {
		return PlanResult{Outcome: PlanInvalid, Version: version, Reason: fmt.Sprintf("the version must be above %d, which is in force", version)}, false
	}
	return PlanResult{}, true
}

func (c *Control) planErrorResult(err error) PlanResult {
	res := PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	var notLeader *agatereplica.NotLeaderError
	if errors.As(err, &notLeader) {
		res.Outcome = PlanNotLeader
		res.Leader = c.addressOf(notLeader.Leader)
	}
	return res
}

// ReadPlan returns the newest plan after confirming that this replica is the
// leader.
func (c *Control) ReadPlan(ctx context.Context) (*agateplan.Document, PlanResult) {
	cur, err := c.readConfig(ctx, "")
	if err != nil {
		return nil, c.planErrorResult(err)
	}
	select {
	case c.decoding <- struct{}{}:
		defer func() { <-c.decoding }()
	case <-ctx.Done():
		return nil, PlanResult{Outcome: PlanUnknown, Reason: "other reads of the plan are in progress"}
	}
	doc, err := cur.plan()
	if err != nil {
		return nil, PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	}
	return doc, PlanResult{Outcome: PlanAccepted, Version: doc.Plan.Version}
}

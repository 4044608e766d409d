package agatecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"agategate/core/agateplan"
	"agategate/core/agatequorum"
	"agategate/core/agatestate"
	"agategate/io/agateclient"
	"agategate/io/agatereplica"
	"agategate/io/agatewire"
)

const (
	// commitTimeout bounds one commit, whether local or forwarded to the
	// leader, and one report of contacts. It is below the second after which
	// clients of the control hosts try another one.
	commitTimeout = 800 * time.Millisecond
	// coldTolerance is the difference between the announced and the known warm-up
	// time of an upstream from which the announcement counts as a change. State
	// time advances in steps of up to one second.
	coldTolerance = 1500 * time.Millisecond
)

// ErrOutcomeUnknown is returned when a forwarded command may or may not take
// effect. It corresponds to agatereplica.ErrUnknown for local ones.
var ErrOutcomeUnknown = errors.New("agatecontrol: outcome unknown, the command may still take effect")

// commit proposes a command locally or forwards it to the leader, and returns
// once the leader has applied it.
func (c *Control) commit(ctx context.Context, cmd agatestate.Command) (agatestate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := c.propose(ctx, cmd)
	var notLeader *agatereplica.NotLeaderError
	if !errors.As(err, &notLeader) {
		return res, err
	}
	addr := c.addressOf(notLeader.Leader)
	if notLeader.Leader == 0 || !addr.IsValid() {
		return res, err
	}
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return res, err
	}
	reply, err := agatewire.NewControlClient(conn).Submit(ctx, &agatewire.SubmitAsk{Sender: c.identity(), Command: agatestate.Encode(cmd)})
	c.dialer.Report(addr, err)
	switch {
	case err != nil:
		return res, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	case reply.Code == agateclient.CodeApplied:
		return agatestate.DecodeResult(reply.Result)
	case reply.Code == agateclient.CodeNotLeader:
		return res, &agatereplica.NotLeaderError{}
	}
	return res, fmt.Errorf("%w: %s", ErrOutcomeUnknown, reply.Error)
}

// Announce handles an announcement of an upstream. It returns once the group
// has stored the change, if there is one. After an error the upstream must
// announce itself again, here or at another replica.
func (c *Control) Announce(ctx context.Context, up agatestate.Upstream) error {
	known, ok := c.machine.Upstream(up.ID)
	if !up.Gone {
		c.contacts.recordLocal(up.ID, time.Now())
	}
	if ok && !needsCommit(&known, &up) {
		if _, hasLeader := c.Leader(); !hasLeader {
			return errNoLeader
		}
		return nil
	}
	res, err := c.commit(ctx, agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
	if err == nil && res.Verdict != agatestate.Accepted {
		err = fmt.Errorf("agatecontrol: announcement: %s", res.Verdict)
	}
	c.log.Info("upstream announced", "kind", "announce", "choice", up.ID, "service", up.Service, "address", up.Address,
		"draining", up.Draining, "gone", up.Gone, "cold", up.WarmupLeft, "seq", up.Sequence, "changed", res.Count, "error", err)
	return err
}

var errNoLeader = errors.New("agatecontrol: no leader is known")

// needsCommit reports whether an announcement changes more than the time of the
// upstream's last contact. StartedAtMs identifies the upstream's process, Sequence
// orders its announcements.
func needsCommit(known, up *agatestate.Upstream) bool {
	if up.Gone {
		return !known.Gone || known.Expired
	}
	if up.StartedAtMs < known.StartedAtMs || (up.StartedAtMs == known.StartedAtMs && up.Sequence <= known.Sequence) {
		return false
	}
	if known.Gone && up.StartedAtMs == known.StartedAtMs {
		// A process that deregistered cannot return, one that only expired can.
		return known.Expired
	}
	same := up.StartedAtMs == known.StartedAtMs && up.Service == known.Service && up.Address == known.Address &&
		up.Domain == known.Domain && up.Slots == known.Slots && up.Draining == known.Draining && up.Gone == known.Gone
	cold := up.WarmupLeft - known.WarmupLeft
	return !same || cold > coldTolerance || -cold > coldTolerance || (up.WarmupLeft > 0 && known.WarmupLeft == 0)
}

// Evacuate starts or ends the evacuation of a failure domain, which gets no new
// work meanwhile. It returns once the group has stored the change.
func (c *Control) Evacuate(ctx context.Context, domain string, on bool) error {
	_, err := c.commit(ctx, agatestate.Command{Evacuate: &agatestate.Evacuate{Domain: domain, On: on}})
	c.log.Info("evacuation requested", "kind", "evacuate", "choice", domain, "on", on, "error", err)
	return err
}

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
	// checked is the revision against which the plan was checked, base the one that
	// the proposed change replaces, and stored the one that the state machine
	// answered, or 0. They are for the log.
	checked, base, stored uint64
}

// ApplyPlan puts a plan in force if base is the version in force. change
// identifies the operator's change: repeating an accepted change succeeds
// again.
func (c *Control) ApplyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	res := c.applyPlan(ctx, change, base, doc)
	c.log.Info("plan submitted", "kind", "change", "choice", doc.Plan.Version, "base", base, "change", change,
		"outcome", int(res.Outcome), "inforce", res.Version, "checked", res.checked, "replaces", res.base, "stored", res.stored, "reason", res.Reason)
	return res
}

func (c *Control) applyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	if _, err := c.leaderReplica(ctx); err != nil {
		return c.planErrorResult(err)
	}
	checked := c.machine.Config().Revision
	cur, err := c.currentPlan()
	switch {
	case errors.Is(err, errHoldsInventory):
		return PlanResult{Outcome: PlanConflict, Reason: err.Error()}
	case err != nil:
		return PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	}
	if !c.machine.Accepted(change) {
		if res, ok := checkPlan(cur, base, doc); !ok {
			return res
		}
	}
	data, err := doc.Encode()
	if err != nil {
		return PlanResult{Outcome: PlanInvalid, Reason: err.Error()}
	}
	revision := c.machine.Config().Revision
	res, err := c.propose(ctx, agatestate.Command{Configure: &agatestate.Configure{ChangeID: change, Base: revision, Document: data}})
	out := PlanResult{Version: cur.Plan.Version}
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
	out.checked, out.base, out.stored = checked, revision, res.Revision
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

// currentPlan decodes the plan in force. It returns an empty document before
// the first plan.
func (c *Control) currentPlan() (*agateplan.Document, error) {
	cur := c.machine.Config()
	if cur.Revision == 0 {
		return &agateplan.Document{}, nil
	}
	if !agateplan.IsDocument(cur.Document) {
		return nil, errHoldsInventory
	}
	return agateplan.DecodeDocument(cur.Document)
}

var errHoldsInventory = errors.New("agatecontrol: the group holds an inventory, not a routing plan")

// ReadPlan returns the newest plan after confirming that this replica is the
// leader.
func (c *Control) ReadPlan(ctx context.Context) (*agateplan.Document, PlanResult) {
	if _, err := c.leaderReplica(ctx); err != nil {
		return nil, c.planErrorResult(err)
	}
	doc, err := c.currentPlan()
	if err != nil {
		return nil, PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	}
	return doc, PlanResult{Outcome: PlanAccepted, Version: doc.Plan.Version}
}

// IsLeader reports whether this replica considers itself the leader.
func (c *Control) IsLeader() bool { return c.isLeader() }

// Leader returns the leader's address for agategate processes, if known.
func (c *Control) Leader() (netip.AddrPort, bool) {
	r := c.replica.Load()
	if r == nil {
		return netip.AddrPort{}, false
	}
	st := r.Status()
	if st.Role == agatequorum.Leader {
		return c.cfg.Settings.PeerAddr, true
	}
	addr := c.addressOf(st.Leader)
	return addr, st.Leader != 0 && addr.IsValid()
}

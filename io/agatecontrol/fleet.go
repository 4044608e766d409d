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
	// forwardTime bounds the hand-over of one command to the leader. Callers
	// of the control hosts try another one after a second.
	forwardTime = 800 * time.Millisecond
	// coldSlack is the difference between the cold time that an upstream
	// announces and the one that is known from which it is a change. State
	// time moves in steps of up to one second.
	coldSlack = 1500 * time.Millisecond
)

// ErrUnknown says that a command may or may not take effect.
var ErrUnknown = errors.New("agatecontrol: the outcome is not known")

// commit proposes a command here, or has the leader propose it, and returns
// once it is applied by the leader.
func (c *Control) commit(ctx context.Context, cmd agatestate.Command) (agatestate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
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
		return res, fmt.Errorf("%w: %v", ErrUnknown, err)
	case reply.Code == agateclient.CodeApplied:
		return agatestate.DecodeResult(reply.Result)
	case reply.Code == agateclient.CodeNotLeader:
		return res, &agatereplica.NotLeaderError{}
	}
	return res, fmt.Errorf("%w: %s", ErrUnknown, reply.Error)
}

// Announce takes in what an upstream says of itself. It returns once the
// group has stored the change, if it is one; an error means that the upstream
// must announce it again, here or at another replica.
func (c *Control) Announce(ctx context.Context, up agatestate.Upstream) error {
	known, ok := c.machine.Upstream(up.ID)
	if !up.Gone {
		c.heardUp.note(up.ID, time.Now())
	}
	if ok && !changed(&known, &up) {
		if _, led := c.Leader(); !led {
			return errNoLeader
		}
		return nil
	}
	res, err := c.commit(ctx, agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
	if err == nil && res.Verdict != agatestate.Accepted {
		err = fmt.Errorf("agatecontrol: announcement: %s", res.Verdict)
	}
	c.log.Info("upstream announced", "kind", "announce", "choice", up.ID, "service", up.Service, "address", up.Address,
		"draining", up.Draining, "gone", up.Gone, "cold", up.ColdFor, "seq", up.Sequence, "changed", res.Count, "error", err)
	return err
}

var errNoLeader = errors.New("agatecontrol: no leader is known")

// changed reports whether an announcement tells more than that the upstream
// still lives.
func changed(known, up *agatestate.Upstream) bool {
	if up.Gone {
		return !known.Gone || known.TimedOut
	}
	if up.StartMs < known.StartMs || (up.StartMs == known.StartMs && up.Sequence <= known.Sequence) {
		return false
	}
	if known.Gone && up.StartMs == known.StartMs {
		return known.TimedOut
	}
	same := up.StartMs == known.StartMs && up.Service == known.Service && up.Address == known.Address &&
		up.Domain == known.Domain && up.Slots == known.Slots && up.Draining == known.Draining && up.Gone == known.Gone
	cold := up.ColdFor - known.ColdFor
	return !same || cold > coldSlack || -cold > coldSlack || (up.ColdFor > 0 && known.ColdFor == 0)
}

// Evacuate keeps new work away from a failure domain, or ends that. It returns
// once the group has stored it.
func (c *Control) Evacuate(ctx context.Context, domain string, on bool) error {
	_, err := c.commit(ctx, agatestate.Command{Evacuate: &agatestate.Evacuate{Domain: domain, On: on}})
	c.log.Info("evacuation ordered", "kind", "evacuate", "choice", domain, "on", on, "error", err)
	return err
}

// PlanOutcome says what became of a plan.
type PlanOutcome uint8

// The outcomes of ApplyPlan. The zero value promises nothing.
const (
	// PlanUnknown: the plan may or may not come into force.
	PlanUnknown PlanOutcome = iota
	// PlanAccepted: the plan is stored, now or by an earlier call.
	PlanAccepted
	// PlanConflict: another plan won.
	PlanConflict
	// PlanInvalid: the plan or its version is not valid.
	PlanInvalid
	// PlanElsewhere: nothing was done, the leader must be asked.
	PlanElsewhere
)

// PlanResult is the result of ApplyPlan and ReadPlan.
type PlanResult struct {
	Outcome PlanOutcome
	// Version is the version of the plan in force, if known.
	Version uint64
	// Leader is the address for own processes of the leader with the outcome
	// PlanElsewhere, if known.
	Leader netip.AddrPort
	Reason string
}

// ApplyPlan puts a plan in force if base is the version in force. change names
// the operator's order: an order that was accepted is accepted again.
func (c *Control) ApplyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	res := c.applyPlan(ctx, change, base, doc)
	c.log.Info("plan ordered", "kind", "change", "choice", doc.Plan.Version, "base", base, "change", change,
		"outcome", int(res.Outcome), "inforce", res.Version, "reason", res.Reason)
	return res
}

func (c *Control) applyPlan(ctx context.Context, change string, base uint64, doc *agateplan.Document) PlanResult {
	if _, err := c.read(ctx); err != nil {
		return c.planElsewhere(err)
	}
	cur, err := c.currentPlan()
	switch {
	case errors.Is(err, errInventory):
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
	if err != nil {
		return c.planElsewhere(err)
	}
	switch res.Verdict {
	case agatestate.Accepted:
		return PlanResult{Outcome: PlanAccepted, Version: doc.Plan.Version}
	case agatestate.Conflict:
		return PlanResult{Outcome: PlanConflict, Version: cur.Plan.Version, Reason: "another change won"}
	case agatestate.Reused:
		return PlanResult{Outcome: PlanConflict, Version: cur.Plan.Version, Reason: "the change id was used with another plan"}
	}
	return PlanResult{Outcome: PlanInvalid, Version: cur.Plan.Version, Reason: res.Verdict.String()}
}

// checkPlan reports whether a plan may replace the one in force, or why not.
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

func (c *Control) planElsewhere(err error) PlanResult {
	res := PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	var notLeader *agatereplica.NotLeaderError
	if errors.As(err, &notLeader) {
		res.Outcome = PlanElsewhere
		res.Leader = c.addressOf(notLeader.Leader)
	}
	return res
}

// currentPlan decodes the plan in force; before the first one it is empty.
func (c *Control) currentPlan() (*agateplan.Document, error) {
	cur := c.machine.Config()
	if cur.Revision == 0 {
		return &agateplan.Document{}, nil
	}
	if !agateplan.IsDocument(cur.Document) {
		return nil, errInventory
	}
	return agateplan.DecodeDocument(cur.Document)
}

var errInventory = errors.New("agatecontrol: the group holds an inventory, not a routing plan")

// ReadPlan returns the newest plan, confirmed by a majority.
func (c *Control) ReadPlan(ctx context.Context) (*agateplan.Document, PlanResult) {
	if _, err := c.read(ctx); err != nil {
		return nil, c.planElsewhere(err)
	}
	doc, err := c.currentPlan()
	if err != nil {
		return nil, PlanResult{Outcome: PlanUnknown, Reason: err.Error()}
	}
	return doc, PlanResult{Outcome: PlanAccepted, Version: doc.Plan.Version}
}

// Leads reports whether this replica believes to lead.
func (c *Control) Leads() bool { return c.leads() }

// Leader returns the address for own processes of the leader, if known.
func (c *Control) Leader() (netip.AddrPort, bool) {
	r := c.replica.Load()
	if r == nil {
		return netip.AddrPort{}, false
	}
	st := r.Status()
	if st.Role == agatequorum.Leader {
		return c.cfg.Settings.Peer, true
	}
	addr := c.addressOf(st.Leader)
	return addr, st.Leader != 0 && addr.IsValid()
}

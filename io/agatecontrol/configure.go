package agatecontrol

import (
	"context"
	"errors"

	"agategate/core/agateplan"
	"agategate/core/agatestate"
)

// configReading is the configuration as of one command of the log, and whether
// that command or an earlier one accepted the change that is about to be made.
// A change is checked against a reading and may replace only that revision:
// another revision may be in force when the change is proposed.
type configReading struct {
	agatestate.ConfigRevision
	// accepted is whether the change was accepted before, so that it is only
	// acknowledged again.
	accepted bool
}

// readConfig reads the newest configuration after confirming that this replica is
// the leader. change is the id of the change that is about to be made, if any.
func (c *Control) readConfig(ctx context.Context, change string) (configReading, error) {
	if _, err := c.leaderReplica(ctx); err != nil {
		return configReading{}, err
	}
	return c.readLocalConfig(change), nil
}

// readLocalConfig reads the newest configuration that this replica has applied.
func (c *Control) readLocalConfig(change string) configReading {
	cur, accepted := c.machine.ConfigFor(change)
	return configReading{ConfigRevision: cur, accepted: accepted}
}

// noBase is the base of a change that must not replace anything.
const noBase = 0

// base returns the base of the change that the reading was made for. A change that was
// accepted before is not checked again, so it must not replace anything if the state
// machine has dropped its id meanwhile.
func (cur *configReading) base() uint64 {
	if cur.accepted {
		return noBase
	}
	return cur.Revision
}

// replaceConfig proposes a change that was checked against a reading. The verdict is
// Conflict if another revision than its base is in force. A base above the revision
// that was read is not proposed, because the change was not checked against it.
func (c *Control) replaceConfig(ctx context.Context, cur configReading, change agatestate.Configure) (agatestate.Result, error) {
	if change.Base > cur.Revision {
		return agatestate.Result{Verdict: agatestate.Conflict, Revision: cur.Revision, ChangeID: cur.ChangeID}, nil
	}
	return c.propose(ctx, agatestate.Command{Configure: &change})
}

// plan decodes the plan of a reading. It returns an empty document before the
// first plan.
func (cur *configReading) plan() (*agateplan.Document, error) {
	if cur.Revision == 0 {
		return &agateplan.Document{}, nil
	}
	if !cur.holdsPlan() {
		return nil, errHoldsInventory
	}
	return agateplan.DecodeDocument(cur.Document)
}

// holdsPlan reports whether the configuration is a routing plan. Otherwise it is an
// inventory or empty.
func (cur *configReading) holdsPlan() bool { return agateplan.IsDocument(cur.Document) }

var errHoldsInventory = errors.New("agatecontrol: the group holds an inventory, not a routing plan")

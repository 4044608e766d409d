package agatecontrol

import (
	"context"
	"time"

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

const (
	// maxRepairsPerRound bounds the membership changes of one round. Replacing
	// two replicas takes four.
	maxRepairsPerRound = 8
	// repairRetryInterval is the pause before steps that are not possible yet are
	// decided anew.
	repairRetryInterval = 100 * time.Millisecond
)

// repairRound makes the membership changes that the healer proposes, one after the
// other. A step that is not possible yet, such as the promotion of a learner without a
// full copy, does not keep the others waiting.
type repairRound struct {
	// steps returns the steps for the membership in effect, none unless this replica
	// is the leader.
	steps func() []agateheal.Step
	// try makes a change if it is possible now.
	try func(ctx context.Context, ch agatequorum.Change) error
	// done is called after each step that was made.
	done func(step agateheal.Step)
	// pending is called at the end of the round for each step that was not possible.
	pending func(step agateheal.Step, err error)
}

// run repeats the round until there are no more steps, or ctx ends.
func (r *repairRound) run(ctx context.Context) {
	for repairs := 0; repairs < maxRepairsPerRound; {
		made, errs := r.once(ctx)
		switch {
		case made:
			repairs++
			continue
		case len(errs) == 0:
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(repairRetryInterval):
		}
		if ctx.Err() != nil {
			for _, e := range errs {
				r.pending(e.step, e.err)
			}
			return
		}
	}
}

// stepError is a step that was not possible, and why.
type stepError struct {
	step agateheal.Step
	err  error
}

// once makes the first step that is possible. The steps after it must be decided anew.
func (r *repairRound) once(ctx context.Context) (made bool, errs []stepError) {
	for _, step := range r.steps() {
		err := r.try(ctx, step.Change)
		if err == nil {
			r.done(step)
			return true, nil
		}
		errs = append(errs, stepError{step, err})
	}
	return false, errs
}

// repair makes the membership changes that the healer proposes while this replica is
// the leader.
func (c *Control) repair(ctx context.Context) {
	r := c.replica.Load()
	round := repairRound{
		steps: func() []agateheal.Step {
			if !c.isLeader() {
				return nil
			}
			return c.healer.Steps(c.healView(r.Status()), c.identityAt)
		},
		try: r.TryChange,
		done: func(step agateheal.Step) {
			m, _ := step.Change.Members.Find(step.Change.ID)
			c.logMembership(step.Change.Kind, m, step.Reason)
		},
		pending: func(step agateheal.Step, err error) { c.logPending(r.Status(), step, err) },
	}
	round.run(ctx)
}

// logPending logs a step that was not possible in a whole round.
func (c *Control) logPending(st agatereplica.Status, step agateheal.Step, err error) {
	m, _ := step.Change.Members.Find(step.Change.ID)
	if step.Change.Kind == agatequorum.Remove {
		c.log.Warn("replica not removed", "kind", "placement", "choice", m.Address, "id", m.ID, "reason", step.Reason, "error", err)
		return
	}
	var p agatequorum.Progress
	for _, l := range st.Learners {
		if l.ID == m.ID {
			p = l
		}
	}
	c.log.Warn("learner not promoted", "kind", "placement", "choice", m.Address, "id", m.ID, "reason", step.Reason,
		"match", p.Match, "commit", st.Commit, "snapshot", p.Installing, "logbytes", st.LogBytes, "error", err)
}

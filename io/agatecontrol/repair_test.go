package agatecontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

// Guards against a repair that waits for a learner without a full copy, while another
// learner could be promoted and a lost replica removed.
func TestRepairDoesNotWaitForLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		step := func(kind agatequorum.ChangeKind, id uint64) agateheal.Step {
			return agateheal.Step{Change: agatequorum.Change{Kind: kind, ID: id}}
		}
		open := []agateheal.Step{step(agatequorum.Promote, 1), step(agatequorum.Promote, 2), step(agatequorum.Remove, 3)}
		var done, pending []uint64
		begin := time.Now()
		round := repairRound{
			steps: func() []agateheal.Step { return open },
			try: func(ctx context.Context, ch agatequorum.Change) error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				if ch.ID == 1 && time.Since(begin) < 10*time.Second {
					return agatereplica.ErrBehind
				}
				return nil
			},
			done: func(s agateheal.Step) {
				done = append(done, s.Change.ID)
				for i := range open {
					if open[i].Change.ID == s.Change.ID {
						open = append(open[:i:i], open[i+1:]...)
						return
					}
				}
			},
			pending: func(s agateheal.Step, err error) {
				assert.ErrorIs(t, err, agatereplica.ErrBehind)
				pending = append(pending, s.Change.ID)
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		round.run(ctx)
		assert.DeepEqual(t, done, []uint64{2, 3})
		assert.DeepEqual(t, pending, []uint64{1})
		assert.Equal(t, time.Since(begin), callTimeout)
	})
}

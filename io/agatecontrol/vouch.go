package agatecontrol

import (
	"time"

	"agategate/core/agatestate"
)

// vouchForMembers answers the claims against members that this replica has heard of late,
// whenever a command may have brought one. Members announce themselves at intervals, and
// a plain heartbeat is known to the replica that received it only, so without this a claim
// would have to wait for the member's next heartbeat.
func (c *Control) vouchForMembers() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.claimed:
		}
		now := time.Now()
		cmd := &agatestate.Announce{}
		for _, up := range c.machine.ClaimedMembers() {
			if c.contacts.heardLocally(up.ID, up.StartedAtMs, now) {
				cmd.Upstreams = append(cmd.Upstreams, up)
			}
		}
		if len(cmd.Upstreams) == 0 {
			continue
		}
		if _, err := c.commit(c.ctx, agatestate.Command{Announce: cmd}); err != nil {
			c.log.Warn("upstreams not confirmed against other announcements", "kind", "announce", "upstreams", len(cmd.Upstreams), "error", err)
		}
	}
}

// signalClaims wakes the task that answers claims.
func (c *Control) signalClaims() {
	select {
	case c.claimed <- struct{}{}:
	default: // a signal is already pending
	}
}

package agatecontrol

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"agategate/io/agatewire"
)

const (
	// notifiedPerRegion is how many entry hosts of each region the leader
	// notifies of a new revision. These pass it on to their peers; the others
	// learn of it from their next heartbeat at the latest.
	notifiedPerRegion = 2
	// notifyTimeout bounds one notification.
	notifyTimeout = 500 * time.Millisecond
)

// notifyRevisions notifies entry hosts of new revisions until the process
// stops.
func (c *Control) notifyRevisions() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.revisionApplied:
		}
		if c.isLeader() {
			c.notifyHosts()
		}
	}
}

// notifyHosts notifies some entry hosts of each region and waits for their
// answers.
func (c *Control) notifyHosts() {
	now := time.Now()
	notified := make(map[string]int)
	var wg sync.WaitGroup
	for _, h := range c.sessions.all() {
		if now.Sub(h.lastHeartbeat) > sessionLease || notified[h.heartbeat.Region] == notifiedPerRegion {
			continue
		}
		addr, err := netip.ParseAddrPort(h.heartbeat.Peer)
		if err != nil {
			continue
		}
		notified[h.heartbeat.Region]++
		wg.Go(func() { c.notifyHost(addr) })
	}
	wg.Wait()
}

func (c *Control) notifyHost(addr netip.AddrPort) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
	defer cancel()
	_, err = agatewire.NewPeerClient(conn).Notify(ctx, &agatewire.NotifyAsk{Sender: c.identity()})
	c.dialer.Report(addr, err)
}

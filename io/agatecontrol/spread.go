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
	// tells of a new revision. These pass it on to their peers; the others
	// would learn it from their next heartbeat in any case.
	notifiedPerRegion = 2
	// notifyTime bounds one notification.
	notifyTime = 500 * time.Millisecond
)

// spread is the duty that tells entry hosts of new revisions at once.
func (c *Control) spread() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.revised:
		}
		if c.leads() {
			c.notify()
		}
	}
}

// notify tells some entry hosts of each region and waits for their answers.
func (c *Control) notify() {
	now := time.Now()
	told := make(map[string]int)
	var asks sync.WaitGroup
	for _, h := range c.sessions.all() {
		if now.Sub(h.at) > sessionLease || told[h.beat.Region] == notifiedPerRegion {
			continue
		}
		addr, err := netip.ParseAddrPort(h.beat.Peer)
		if err != nil {
			continue
		}
		told[h.beat.Region]++
		asks.Go(func() { c.notifyHost(addr) })
	}
	asks.Wait()
}

func (c *Control) notifyHost(addr netip.AddrPort) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, notifyTime)
	defer cancel()
	_, err = agatewire.NewPeerClient(conn).Notify(ctx, &agatewire.NotifyAsk{Sender: c.identity()})
	c.dialer.Report(addr, err)
}

package agateentry

import (
	"context"
	"time"

	"agategate/core/agateaction"
	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/internal/agateclock"
)

// readyPause is the pause between two tries to learn the newest configuration
// at start.
const readyPause = 100 * time.Millisecond

// peersTime bounds the wait for a peer's upstream table at start: two
// intervals of announcements.
const peersTime = 2 * agateroute.DefaultAnnounceInterval

// configured is a configuration in force.
type configured struct {
	revision uint64
	document []byte
	change   string
	since    time.Time
}

// install puts a configuration in force if its revision is higher than the
// one in force, and reports whether it did.
func (e *Entry) install(revision uint64, document []byte, change, from string) bool {
	e.installing.Lock()
	defer e.installing.Unlock()
	if revision <= e.config.Load().revision {
		return false
	}
	inv, problems := agateinventory.Parse("revision", document)
	if len(problems) > 0 {
		// The control group checks documents before it accepts them, so this
		// host runs an older version. It keeps what is in force.
		e.log.Error("configuration refused", "revision", revision, "from", from, "error", problems.Error())
		return false
	}
	e.router.do(func(now time.Time) { e.router.table.Configure(now, inv) })
	e.inventory.Store(inv)
	e.config.Store(&configured{revision: revision, document: document, change: change, since: time.Now()})
	e.metrics.revision(revision)
	e.log.Info("configuration in force", "kind", "placement", "choice", revision, "reason", from, "change", change)
	e.lookup.configured(inv)
	e.exchange.configured(inv)
	e.exchange.kick()
	e.beats.kick()
	return true
}

// becomeReady learns the newest configuration from a majority of the control
// group. Until then the host answers nothing, because it might act on a
// revision that was replaced while it was down.
func (e *Entry) becomeReady(ctx context.Context) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
		reply, err := e.control.Config(one)
		cancel()
		if err == nil {
			e.install(reply.Revision, reply.Document, reply.Change, "control")
			if reply.Revision == 0 || e.config.Load().revision >= reply.Revision {
				e.awaitPeers(ctx)
				e.awaitSeen(ctx)
				e.ready.Store(true)
				e.exchange.kick()
				e.beats.kick()
				e.log.Info("ready", "revision", reply.Revision)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPause):
		}
	}
}

// awaitSeen waits until an index of the log counts as seen. Before that the
// claims of this host would be refused for every key that any host refused
// lately.
func (e *Entry) awaitSeen(ctx context.Context) {
	limit := time.NewTimer(peersTime + agateaction.SeenLag)
	defer limit.Stop()
	for e.seen.At(agateclock.Now()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(readyPause / 10):
		}
	}
}

// awaitPeers waits until a peer has sent its upstream table, or until the
// upstreams have announced themselves in any case.
func (e *Entry) awaitPeers(ctx context.Context) {
	limit := time.NewTimer(peersTime)
	defer limit.Stop()
	for !e.informed.Load() && len(e.inventory.Load().Hosts) > 1 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(readyPause / 10):
		}
	}
}

// fetch asks the control group for a configuration that a heartbeat named.
func (e *Entry) fetch(ctx context.Context) {
	one, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
	defer cancel()
	reply, err := e.control.Config(one)
	if err != nil {
		e.log.Warn("configuration not fetched", "error", err)
		return
	}
	e.install(reply.Revision, reply.Document, reply.Change, "control")
}

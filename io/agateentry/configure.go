package agateentry

import (
	"context"
	"time"

	"agategate/core/agateaction"
	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/internal/agateclock"
)

// readyRetryInterval is the delay between attempts to read the newest
// configuration at start.
const readyRetryInterval = 100 * time.Millisecond

// peerTableTimeout limits the wait for a peer's upstream table at start, and is
// part of the limit in awaitSeenIndex. After two announcement intervals, the
// upstreams have announced themselves anyway.
const peerTableTimeout = 2 * agateroute.DefaultAnnounceInterval

// activeConfig is the configuration in force.
type activeConfig struct {
	revision uint64
	document []byte
	change   string
	since    time.Time
}

// install activates a configuration if its revision is higher than the active
// one, and reports whether it did.
func (e *Entry) install(revision uint64, document []byte, change, from string) bool {
	e.installMu.Lock()
	defer e.installMu.Unlock()
	if revision <= e.config.Load().revision {
		return false
	}
	inv, problems := agateinventory.Parse("revision", document)
	if len(problems) > 0 {
		// The control group validates documents before it accepts them, so this
		// host runs an older version of agategate. It keeps the active
		// configuration.
		e.log.Error("configuration refused", "revision", revision, "from", from, "error", problems.Error())
		return false
	}
	e.router.do(func(now time.Time) { e.router.table.Configure(now, inv) })
	e.inventory.Store(inv)
	e.config.Store(&activeConfig{revision: revision, document: document, change: change, since: time.Now()})
	e.metrics.revision(revision)
	e.log.Info("configuration in force", "kind", "placement", "choice", revision, "reason", from, "change", change)
	e.lookup.configure(inv)
	e.exchange.configure(inv)
	e.exchange.triggerAll()
	e.heartbeats.trigger()
	return true
}

// becomeReady reads the newest configuration from a majority of the control
// group. Until then the host answers no callers, because it might apply a
// revision that was replaced while it was down.
func (e *Entry) becomeReady(ctx context.Context) {
	for ctx.Err() == nil {
		reqCtx, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
		reply, err := e.control.Config(reqCtx)
		cancel()
		if err == nil {
			e.install(reply.Revision, reply.Document, reply.Change, "control")
			if reply.Revision == 0 || e.config.Load().revision >= reply.Revision {
				e.awaitPeerTable(ctx)
				e.awaitSeenIndex(ctx)
				e.ready.Store(true)
				e.exchange.triggerAll()
				e.heartbeats.trigger()
				e.log.Info("ready", "revision", reply.Revision)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyRetryInterval):
		}
	}
}

// awaitSeenIndex waits until this host has known a log index for
// agateaction.SeenLag, so that claims can carry it, but at most peerTableTimeout
// plus agateaction.SeenLag. Before that, claims carry index 0 and are refused for
// every key that any host has refused recently.
func (e *Entry) awaitSeenIndex(ctx context.Context) {
	limit := time.NewTimer(peerTableTimeout + agateaction.SeenLag)
	defer limit.Stop()
	for e.seenIndex.At(agateclock.Now()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(readyRetryInterval / 10):
		}
	}
}

// awaitPeerTable waits until a peer has sent its full upstream table, but at
// most peerTableTimeout.
func (e *Entry) awaitPeerTable(ctx context.Context) {
	limit := time.NewTimer(peerTableTimeout)
	defer limit.Stop()
	for !e.peerTableReceived.Load() && len(e.inventory.Load().Hosts) > 1 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-time.After(readyRetryInterval / 10):
		}
	}
}

// fetchConfig reads the newer configuration that a heartbeat has announced.
func (e *Entry) fetchConfig(ctx context.Context) {
	reqCtx, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
	defer cancel()
	reply, err := e.control.Config(reqCtx)
	if err != nil {
		e.log.Warn("configuration cannot be read from the control group", "error", err)
		return
	}
	e.install(reply.Revision, reply.Document, reply.Change, "control")
}

package agatebalance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateboard"
)

// loadShareInterval is the interval at which a host tells the others about the load of
// one upstream.
const loadShareInterval = 500 * time.Millisecond

// ownLoadPeriod is the age up to which a host prefers the report that it got itself.
// Reports of others are about queues only, and reach all hosts at once: in floods, hosts
// that follow them move load together from region to region.
const ownLoadPeriod = 2 * time.Second

// LoadReport is the number of requests running and queued at an upstream, as it told a
// host. Upstream is its loadKey, and StartedAtMs is not used.
type LoadReport = agateboard.Report[int]

// loadKey identifies an upstream and the process that it runs in messages about loads,
// of which there are many: it is a hash of 4 bytes. If two upstreams have the same, one
// of them is expected to have the load of the other now and then.
func loadKey(info *UpstreamInfo) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(info.ID) // a Digest never returns an error
	var startedAt [8]byte
	binary.LittleEndian.PutUint64(startedAt[:], uint64(info.StartedAtMs))
	_, _ = d.Write(startedAt[:])
	return string(binary.LittleEndian.AppendUint32(nil, uint32(d.Sum64())))
}

// shareLoad records a reported load for other hosts if the upstream has a queue, or had
// one when it was last told about. A host of a large deployment rarely gets a report
// itself, and would send requests to upstreams that the requests of the others fill.
func (t *Table) shareLoad(now time.Time, u *upstream, load int) {
	queued := load > u.info.Slots
	if !queued && !u.queueKnown || now.Sub(u.loadSharedAt) < loadShareInterval {
		return
	}
	u.queueKnown = queued
	u.loadSharedAt = now
	t.loads.Merge(now, []LoadReport{{Upstream: u.loadKey, Value: load}})
}

// LoadReports returns the loads that other hosts should know, recorded after a cursor,
// and the next cursor.
func (t *Table) LoadReports(now time.Time, cursor uint64) ([]LoadReport, uint64) {
	return t.loads.Since(now, cursor)
}

// ApplyLoads applies loads that upstreams reported to other hosts, unless this host got
// a report itself within ownLoadPeriod.
func (t *Table) ApplyLoads(now time.Time, reports []LoadReport) {
	for _, r := range reports {
		u := t.byLoadKey[r.Upstream]
		at := now.Add(-r.Age)
		if u == nil || !at.After(u.loadReportedAt) || now.Sub(u.ownLoadAt) < ownLoadPeriod || t.service(u.info.Service).scarce(now) {
			continue
		}
		u.recordLoad(at, r.Value)
		u.queueKnown = r.Value > u.info.Slots
	}
}

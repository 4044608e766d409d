package agatereplica

import (
	"fmt"

	"agategate/core/agatequorum"
)

// batch is a snapshot to restore, if any, and committed entries to apply after
// it.
type batch struct {
	restore *agatequorum.Snapshot
	entries []agatequorum.Entry
	// results is set if callers may wait for results.
	results bool
}

// report is the result of applying a batch.
type report struct {
	applied uint64
	results []result
	// snapshot is the state after applied, if hasSnapshot is set.
	snapshot    []byte
	hasSnapshot bool
	restored    bool
	err         error
}

type result struct {
	index uint64
	term  uint64
	value []byte
}

// applier is the task that owns the state machine.
type applier struct {
	r        *Replica
	applied  uint64
	schedule agatequorum.SnapshotSchedule
}

func newApplier(r *Replica) *applier {
	return &applier{
		r:        r,
		schedule: agatequorum.SnapshotSchedule{Entries: r.cfg.SnapshotEvery, LogBytes: r.cfg.LogBytes},
	}
}

func (a *applier) run() {
	for {
		select {
		case <-a.r.stop:
			return
		case b := <-a.r.batches.Items():
			a.r.reports.Offer(a.apply(b))
		}
	}
}

func (a *applier) apply(b batch) report {
	if b.restore != nil {
		if err := a.r.cfg.Restore(b.restore.Data); err != nil {
			return report{err: fmt.Errorf("agatereplica: restore snapshot %d: %w", b.restore.Index, err)}
		}
		a.applied = b.restore.Index
		a.schedule.Taken(len(b.restore.Data))
	}
	var rep report
	for _, e := range b.entries {
		var value []byte
		if e.Kind == agatequorum.KindCommand {
			value = a.r.cfg.Apply(e.Index, e.Data)
		}
		if b.results {
			rep.results = append(rep.results, result{index: e.Index, term: e.Term, value: value})
		}
		a.applied = e.Index
		a.schedule.Applied(e)
		a.r.unapplied.Add(-int64(agatequorum.EntryBytes(e)))
	}
	rep.applied = a.applied
	rep.restored = b.restore != nil
	a.snapshot(&rep)
	return rep
}

// snapshot takes a snapshot if one is due.
func (a *applier) snapshot(rep *report) {
	if !a.schedule.Due() {
		return
	}
	data, err := a.r.cfg.Snapshot()
	if err != nil {
		a.r.cfg.Logger.Error("snapshot failed", "index", a.applied, "error", err)
		return
	}
	a.schedule.Taken(len(data))
	a.r.snapshots.Add(1)
	a.r.snapshotBytes.Add(int64(len(data)))
	rep.snapshot = data
	rep.hasSnapshot = true
}

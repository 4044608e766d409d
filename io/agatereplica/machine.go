package agatereplica

import (
	"fmt"

	"agategate/core/agatequorum"
)

// batch is work for the state machine.
type batch struct {
	restore *agatequorum.Snapshot
	entries []agatequorum.Entry
	// results says that a caller may wait for a result.
	results bool
}

// report is what the state machine did with a batch.
type report struct {
	applied uint64
	results []result
	// snapshot is the state after applied, when it was due.
	snapshot []byte
	due      bool
	restored bool
	err      error
}

type result struct {
	index uint64
	term  uint64
	value []byte
}

// machine is the duty that owns the state machine.
type machine struct {
	r       *Replica
	applied uint64
	// saved is the index of the last snapshot.
	saved uint64
}

func (m *machine) run() {
	for {
		select {
		case <-m.r.stop:
			return
		case b := <-m.r.batches.Items():
			m.r.reports.Offer(m.apply(b))
		}
	}
}

func (m *machine) apply(b batch) report {
	if b.restore != nil {
		if err := m.r.cfg.Restore(b.restore.Data); err != nil {
			return report{err: fmt.Errorf("agatereplica: restore snapshot %d: %w", b.restore.Index, err)}
		}
		m.applied = b.restore.Index
		m.saved = b.restore.Index
	}
	var rep report
	for _, e := range b.entries {
		var value []byte
		if e.Kind == agatequorum.KindCommand {
			value = m.r.cfg.Apply(e.Index, e.Data)
		}
		if b.results {
			rep.results = append(rep.results, result{index: e.Index, term: e.Term, value: value})
		}
		m.applied = e.Index
	}
	rep.applied = m.applied
	rep.restored = b.restore != nil
	m.snapshot(&rep)
	return rep
}

// snapshot takes a snapshot when it is due.
func (m *machine) snapshot(rep *report) {
	if m.applied-m.saved < uint64(m.r.cfg.SnapshotEvery) {
		return
	}
	data, err := m.r.cfg.Snapshot()
	if err != nil {
		m.r.cfg.Logger.Error("snapshot failed", "index", m.applied, "error", err)
		return
	}
	m.saved = m.applied
	rep.snapshot = data
	rep.due = true
}

package agatereplica

import (
	"time"

	"agategate/core/agatequorum"
)

// disk is the duty that writes to the store.
type disk struct {
	r *Replica
	// hard is the last durable HardState.
	hard agatequorum.HardState
}

func (d *disk) run() {
	for {
		select {
		case <-d.r.stop:
			return
		case w := <-d.r.writes.Items():
			if !d.write(w) {
				return
			}
		}
	}
}

// write repeats a write until it succeeds, and reports false when the replica
// stops before. The core hears of the first failure, so that the leader
// refuses commands meanwhile.
func (d *disk) write(w *agatequorum.Write) bool {
	sn := w.Snapshot
	for failures := 0; ; failures++ {
		err := d.try(w, &sn)
		if err == nil {
			d.r.written.Offer(agatequorum.WriteResult{Written: true})
			if failures > 0 {
				d.r.cfg.Logger.Info("store writes again", "failures", failures)
			}
			return true
		}
		if failures == 0 {
			d.r.cfg.Logger.Error("store write failed, commands are refused", "error", err)
			d.r.written.Offer(agatequorum.WriteResult{Failed: true})
		}
		retry := time.NewTimer(d.r.cfg.Retry)
		select {
		case <-d.r.stop:
			retry.Stop()
			return false
		case <-retry.C:
		}
	}
}

func (d *disk) try(w *agatequorum.Write, sn **agatequorum.Snapshot) error {
	if *sn != nil {
		if err := d.r.cfg.SaveSnapshot(**sn); err != nil {
			return err
		}
		*sn = nil
	}
	if len(w.Entries) == 0 && w.HardState.Term == d.hard.Term && w.HardState.Vote == d.hard.Vote {
		return nil
	}
	if err := d.r.cfg.Append(w.HardState, w.Entries); err != nil {
		return err
	}
	d.hard = w.HardState
	return nil
}

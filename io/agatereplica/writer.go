package agatereplica

import (
	"time"

	"agategate/core/agatequorum"
)

// storeWriter is the task that writes to the store.
type storeWriter struct {
	r *Replica
	// hard is the last durable HardState.
	hard agatequorum.HardState
}

func (s *storeWriter) run() {
	for {
		select {
		case <-s.r.stop:
			return
		case w := <-s.r.writes.Items():
			if !s.write(w) {
				return
			}
		}
	}
}

// write retries a write until it succeeds. It returns false if the replica
// stops first. The first failure is reported to the core, so that the leader
// refuses commands until the write succeeds.
func (s *storeWriter) write(w *agatequorum.Write) bool {
	sn := w.Snapshot
	for failures := 0; ; failures++ {
		err := s.try(w, &sn)
		if err == nil {
			s.r.written.Offer(agatequorum.WriteResult{Written: true})
			if failures > 0 {
				s.r.cfg.Logger.Info("store write succeeded after retries", "failures", failures)
			}
			return true
		}
		if failures == 0 {
			s.r.cfg.Logger.Error("store write failed, commands are refused", "error", err)
			s.r.written.Offer(agatequorum.WriteResult{Failed: true})
		}
		retry := time.NewTimer(s.r.cfg.RetryInterval)
		select {
		case <-s.r.stop:
			retry.Stop()
			return false
		case <-retry.C:
		}
	}
}

func (s *storeWriter) try(w *agatequorum.Write, sn **agatequorum.Snapshot) error {
	if *sn != nil {
		if err := s.r.cfg.SaveSnapshot(**sn); err != nil {
			return err
		}
		*sn = nil
	}
	// A change of the commit index alone need not be durable.
	if len(w.Entries) == 0 && w.HardState.Term == s.hard.Term && w.HardState.Vote == s.hard.Vote {
		return nil
	}
	if err := s.r.cfg.Append(w.HardState, w.Entries); err != nil {
		return err
	}
	s.hard = w.HardState
	return nil
}

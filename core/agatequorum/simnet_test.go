package agatequorum_test

import (
	"slices"
	"time"

	"agategate/core/agatequorum"
)

func (s *sim) send(m agatequorum.Message) {
	to := s.nodes[m.To]
	if to == nil || s.blocked[[2]uint64{m.From, m.To}] || s.rng.Float64() < s.drop {
		return
	}
	copies := 1
	if s.rng.Float64() < s.dup {
		copies = 2
	}
	for range copies {
		d := max(s.oneWayDelay[m.From], s.oneWayDelay[m.To]) + time.Duration(s.rng.Float64()*float64(s.maxJitter))
		d += s.transmit(m)
		s.schedule(d, to, 0, func() {
			if s.onMessage != nil {
				s.onMessage(to, m)
			}
			to.core.Step(to.clock(), m)
		})
	}
}

// transmit returns the time until the sender of a message has sent it, after the
// messages before it.
func (s *sim) transmit(m agatequorum.Message) time.Duration {
	size := agatequorum.EntryBytes(m.Entries...) + len(m.Snapshot.Data)
	s.sentBytes[m.To] += size
	if s.bandwidth == 0 {
		return 0
	}
	begin := max(s.now, s.sendingUntil[m.From])
	end := begin + time.Duration(size)*time.Second/time.Duration(s.bandwidth)
	s.sendingUntil[m.From] = end
	return end - s.now
}

// partition blocks all links between the given replicas and the others.
func (s *sim) partition(side ...uint64) {
	for _, a := range s.ids {
		for _, b := range s.ids {
			if slices.Contains(side, a) != slices.Contains(side, b) {
				s.blocked[[2]uint64{a, b}] = true
			}
		}
	}
}

func (s *sim) healNetwork() { clear(s.blocked) }

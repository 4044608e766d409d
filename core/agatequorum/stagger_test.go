package agatequorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replicas that start together and split the vote again and
// again: with two of five lost, the other three must all vote for one. The
// way between them takes 20 ms and a write 5 ms.
func TestStaggeredStartElectsAtOnce(t *testing.T) {
	const (
		way   = 20 * time.Millisecond
		disk  = 5 * time.Millisecond
		limit = 900 * time.Millisecond
	)
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			var members Members
			for id := uint64(1); id <= 5; id++ {
				members = append(members, Member{ID: id})
			}
			type sent struct {
				at time.Duration
				m  Message
			}
			cores := map[uint64]*Core{}
			begin := map[uint64]time.Duration{}
			written := map[uint64]time.Duration{}
			var wire []sent
			for _, i := range rng.Perm(5)[:3] {
				id := uint64(i + 1)
				cores[id] = New(Config{ID: id, Bootstrap: members, Rand: rng.Uint64, Stagger: 120 * time.Millisecond}, Saved{Fresh: true})
				begin[id] = time.Duration(rng.IntN(50)) * time.Millisecond
			}
			for now := time.Duration(0); now < limit; now += time.Millisecond {
				for i := 0; i < len(wire); i++ {
					if wire[i].at > now {
						continue
					}
					if c := cores[wire[i].m.To]; c != nil && now >= begin[wire[i].m.To] {
						c.Step(now, wire[i].m)
					}
					wire = append(wire[:i], wire[i+1:]...)
					i--
				}
				for id := uint64(1); id <= 5; id++ {
					c := cores[id]
					if c == nil || now < begin[id] {
						continue
					}
					c.Tick(now)
					if at, busy := written[id]; busy && now >= at {
						delete(written, id)
						c.Advance(Done{Written: true})
					}
					r := c.Ready()
					if r.Write != nil {
						written[id] = now + disk
					}
					for _, m := range r.Messages {
						wire = append(wire, sent{now + way, m})
					}
					if c.role == Leader {
						return
					}
				}
			}
			assert.Assert(t, false, "no leader after %v", limit)
		})
	}
}

package agatequorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against repeated split votes of replicas that start at about the same
// time: with two of five replicas down, the other three, which must all vote for
// the same candidate, elect a leader within 900 ms.
func TestStaggeredStartElectsAtOnce(t *testing.T) {
	const (
		oneWayDelay   = 20 * time.Millisecond
		writeTime     = 5 * time.Millisecond
		electionLimit = 900 * time.Millisecond
	)
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			var members Members
			for id := uint64(1); id <= 5; id++ {
				members = append(members, Member{ID: id})
			}
			type packet struct {
				deliverAt time.Duration
				m         Message
			}
			cores := map[uint64]*Core{}
			startAt := map[uint64]time.Duration{}
			writeDoneAt := map[uint64]time.Duration{}
			var inTransit []packet
			for _, i := range rng.Perm(5)[:3] {
				id := uint64(i + 1)
				cores[id] = New(Config{ID: id, Bootstrap: members, Rand: rng.Uint64, Stagger: 120 * time.Millisecond}, PersistentState{Fresh: true})
				startAt[id] = time.Duration(rng.IntN(50)) * time.Millisecond
			}
			for now := time.Duration(0); now < electionLimit; now += time.Millisecond {
				for i := 0; i < len(inTransit); i++ {
					if inTransit[i].deliverAt > now {
						continue
					}
					if c := cores[inTransit[i].m.To]; c != nil && now >= startAt[inTransit[i].m.To] {
						c.Step(now, inTransit[i].m)
					}
					inTransit = append(inTransit[:i], inTransit[i+1:]...)
					i--
				}
				for id := uint64(1); id <= 5; id++ {
					c := cores[id]
					if c == nil || now < startAt[id] {
						continue
					}
					c.Tick(now)
					if doneAt, busy := writeDoneAt[id]; busy && now >= doneAt {
						delete(writeDoneAt, id)
						c.Advance(WriteResult{Written: true})
					}
					r := c.Ready()
					if r.Write != nil {
						writeDoneAt[id] = now + writeTime
					}
					for _, m := range r.Messages {
						inTransit = append(inTransit, packet{now + oneWayDelay, m})
					}
					if c.role == Leader {
						return
					}
				}
			}
			assert.Assert(t, false, "no leader after %v", electionLimit)
		})
	}
}

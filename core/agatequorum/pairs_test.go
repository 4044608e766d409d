package agatequorum_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// The figures of TestPairsOfLosses. Sizes and rates have the proportions of a plan of
// 1,600 routes on links of 280 Mbit/s, at a 350th of the size.
const (
	pairsCommandBytes = 2_000
	pairsStateBytes   = 4_000
	pairsLogBytes     = 8_000
	pairsBandwidth    = 100_000 // bytes per second
	pairsHistory      = 400     // commands before the first loss
	pairsMessageBytes = 1_000
	// pairsCatchUp is how long a replica counts as lost after it is back.
	pairsCatchUp = healTimeout
	// maxPairsDown is the longest time between the loss of a disk and the start of
	// its successor.
	maxPairsDown = 1500 * time.Millisecond
	// maxPairsLost is the number of replicas that may be lost at once.
	maxPairsLost = 2
)

// pairsOfLosses plays losses of disks and a pause on a healing group, as closely one
// after the other as the limit on replicas that are lost at once permits.
type pairsOfLosses struct {
	*healingGroup
	// lostUntil is the time until which the replica at an address counts as lost.
	lostUntil map[netip.AddrPort]time.Duration
	// returning are the replicas without a disk that have not started again.
	returning   []returningReplica
	nextPropose time.Duration
	proposed    int
}

type returningReplica struct {
	addr netip.AddrPort
	at   time.Duration
}

// play advances the time, proposes commands meanwhile and starts replicas again.
func (p *pairsOfLosses) play(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := p.now + d; p.now < end; {
		p.advance(min(step, end-p.now))
		p.startReturning()
		if l := p.leader(); l != nil && p.now >= p.nextPropose {
			l.propose()
			p.proposed++
			p.nextPropose = p.now + 200*time.Millisecond
		}
	}
}

// startReturning starts the successors of replicas that lost their disk.
func (p *pairsOfLosses) startReturning() {
	p.returning = slices.DeleteFunc(p.returning, func(r returningReplica) bool {
		if p.now < r.at {
			return false
		}
		n := p.add(p.nextID, nil)
		p.nextID++
		p.fresh[n] = true
		p.startAt(n, r.addr)
		return true
	})
}

// awaitPermission advances the time until another replica may be lost.
func (p *pairsOfLosses) awaitPermission() {
	for {
		lost := 0
		for _, until := range p.lostUntil {
			if until > p.now {
				lost++
			}
		}
		if lost < maxPairsLost {
			return
		}
		p.play(20 * time.Millisecond)
	}
}

// victim returns a replica that does not count as lost, often the leader.
func (p *pairsOfLosses) victim() *simNode {
	if l := p.leader(); l != nil && p.lostUntil[l.addr] <= p.now && p.rng.IntN(3) == 0 {
		return l
	}
	var candidates []*simNode
	for id := uint64(1); id <= healVoters; id++ {
		if addr := replicaAddr(id); p.lostUntil[addr] <= p.now {
			candidates = append(candidates, p.byAddr[addr])
		}
	}
	return candidates[p.rng.IntN(len(candidates))]
}

func (p *pairsOfLosses) lose() {
	n := p.victim()
	back := p.now + time.Duration(p.rng.Int64N(int64(maxPairsDown)))
	n.loseDisk()
	p.returning = append(p.returning, returningReplica{addr: n.addr, at: back})
	p.lostUntil[n.addr] = back + pairsCatchUp
}

func (p *pairsOfLosses) pause() {
	n := p.victim()
	d := 200*time.Millisecond + time.Duration(p.rng.Int64N(int64(6*time.Second)))
	n.freeze(d)
	p.lostUntil[n.addr] = p.now + d + pairsCatchUp
}

func newPairsOfLosses(t failer, seed uint64, logBytes int) *pairsOfLosses {
	p := &pairsOfLosses{healingGroup: newHealingGroup(t, seed), lostUntil: map[netip.AddrPort]time.Duration{}}
	p.snapshotEvery, p.catchUpEntries, p.maxInFlight = 4096, 4096, 64
	p.commandBytes, p.stateBytes, p.messageBytes = pairsCommandBytes, pairsStateBytes, pairsMessageBytes
	p.logBytes = logBytes
	p.maxJitter = 20 * time.Millisecond
	for _, id := range p.ids {
		p.restart(p.nodes[id]) // with these settings
	}
	p.advance(2 * time.Second)
	for range pairsHistory {
		if l := p.leader(); l != nil {
			l.propose()
		}
		p.advance(10 * time.Millisecond)
	}
	p.bandwidth = pairsBandwidth
	return p
}

// Guards against a group that loses acknowledged entries or its majority because the
// copy of a replacement takes longer with a longer history: two pairs of replicas lose
// their disks one after the other, and another one pauses before, between or after.
// Removing a lost identity before its successor has a copy is safe because the copy is
// complete within the catch-up time: it is the state and at most twice LogBytes.
func TestPairsOfLosses(t *testing.T) {
	for pausedAt := range 5 {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("pause=%d/seed=%d", pausedAt, seed), func(t *testing.T) {
				p := newPairsOfLosses(t, seed, pairsLogBytes)
				for i := range 5 {
					p.awaitPermission()
					if p.rng.IntN(2) == 0 {
						p.play(time.Duration(p.rng.Int64N(int64(time.Second))))
					}
					if i == pausedAt {
						p.pause()
					} else {
						p.lose()
					}
				}
				p.play(maxPairsDown)
				p.bandwidth = 0
				p.checkRecovery()
			})
		}
	}
}

package agatequorum_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agatequorum"
)

// failer is the part of testing.TB and rapid.T that the simulation needs.
type failer interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

const (
	simTick  = 10 * time.Millisecond
	simEvery = 8 // entries between snapshots
)

// sim is a group on virtual time: a network that loses, delays, duplicates
// and reorders, disks that lose what is not synced, and local clocks that run
// at different rates.
type sim struct {
	t      failer
	rng    *rand.Rand
	now    time.Duration
	seq    uint64
	events events
	nodes  map[uint64]*simNode
	ids    []uint64

	drop, dup float64
	delay     time.Duration
	delays    map[uint64]time.Duration
	blocked   map[[2]uint64]bool
	fsync     time.Duration
	keep      int
	chunk     int
	inflight  int
	every     uint64
	changes   []proposed
	lostAt    time.Duration
	oracle    oracle
	// onMessage is called for each message that a replica receives.
	onMessage func(n *simNode, m agatequorum.Message)
}

type event struct {
	at   time.Duration
	seq  uint64
	node *simNode
	// epoch is the incarnation that the event belongs to, or zero for any.
	epoch int
	run   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type simNode struct {
	s         *sim
	id        uint64
	addr      netip.AddrPort
	core      *agatequorum.Core
	bootstrap agatequorum.Members
	disk      agatequorum.Saved
	write     *agatequorum.Write
	epoch     int
	up        bool
	lost      bool
	full      bool
	fragile   bool // crashes at its next write
	rate      float64
	wake      time.Duration
	applied   uint64
	chain     uint64
	saved     uint64
	due       []byte
	asked     map[uint64][]asked
	floors    map[uint64]uint64
	reads     uint64
	confirmed int
	lostReads int
	acked     int
}

type asked struct{ term, data uint64 }

// proposed is a membership that a leader added to its log.
type proposed struct {
	index   uint64
	term    uint64
	members agatequorum.Members
}

func newSim(t failer, seed uint64) *sim {
	return &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*simNode{},
		blocked: map[[2]uint64]bool{}, delays: map[uint64]time.Duration{},
		delay: time.Millisecond, fsync: time.Millisecond, keep: 4, chunk: 64, inflight: 4, every: simEvery,
		oracle: oracle{
			t: t, leaders: map[uint64]uint64{}, durable: map[position]map[uint64]bool{},
			chain: map[uint64]uint64{0: 0}, terms: map[uint64]uint64{},
		},
	}
}

func (s *sim) group(n uint64) {
	var ms agatequorum.Members
	for id := uint64(1); id <= n; id++ {
		ms = append(ms, agatequorum.Member{ID: id})
	}
	s.changes = []proposed{{index: 1, term: 1, members: ms}}
	for _, m := range ms {
		s.add(m.ID, ms)
	}
}

// add starts a replica with an empty disk.
func (s *sim) add(id uint64, bootstrap agatequorum.Members) *simNode {
	n := &simNode{s: s, id: id, bootstrap: bootstrap, rate: 0.955 + 0.09*s.rng.Float64()}
	n.disk.Fresh = true
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	n.start()
	return n
}

func (s *sim) at(after time.Duration, n *simNode, epoch int, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + after, seq: s.seq, node: n, epoch: epoch, run: run})
}

func (s *sim) advance(d time.Duration) { s.runUntil(s.now+d, func() bool { return false }) }

// runUntil handles events until the time end or until done.
func (s *sim) runUntil(end time.Duration, done func() bool) bool {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		n := e.node
		if !n.up || (e.epoch != 0 && e.epoch != n.epoch) {
			continue
		}
		if n.wake > s.now {
			e.at = n.wake + time.Duration(s.rng.IntN(2000))*time.Microsecond
			heap.Push(&s.events, e)
			continue
		}
		e.run()
		n.act()
		if done() {
			return true
		}
	}
	s.now = max(s.now, end)
	return false
}

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
		d := max(s.delays[m.From], s.delays[m.To]) + time.Duration(s.rng.Float64()*float64(s.delay))
		s.at(d, to, 0, func() {
			if s.onMessage != nil {
				s.onMessage(to, m)
			}
			to.core.Step(to.clock(), m)
		})
	}
}

// partition cuts the given replicas from all others.
func (s *sim) partition(side ...uint64) {
	for _, a := range s.ids {
		for _, b := range s.ids {
			if slices.Contains(side, a) != slices.Contains(side, b) {
				s.blocked[[2]uint64{a, b}] = true
			}
		}
	}
}

func (s *sim) heal() { clear(s.blocked) }

// leader returns the running leader of the highest term.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.ids {
		n := s.nodes[id]
		if !n.up || n.wake > s.now || n.core.Status().Role != agatequorum.Leader {
			continue
		}
		if best == nil || n.core.Status().Term > best.core.Status().Term {
			best = n
		}
	}
	return best
}

func (n *simNode) clock() time.Duration { return time.Duration(float64(n.s.now) * n.rate) }

func (n *simNode) start() {
	n.epoch++
	n.up = true
	n.wake = 0
	n.applied, n.chain, n.saved, n.due = 0, 0, 0, nil
	n.asked = map[uint64][]asked{}
	n.floors = map[uint64]uint64{}
	saved := n.disk
	saved.Entries = slices.Clone(saved.Entries)
	n.core = agatequorum.New(agatequorum.Config{
		ID: n.id, Bootstrap: n.bootstrap, Rand: n.s.rng.Uint64, MaxBytes: n.s.chunk, MaxInflight: n.s.inflight, Keep: n.s.keep,
	}, saved)
	epoch := n.epoch
	var tick func()
	tick = func() {
		n.core.Tick(n.clock())
		n.s.at(simTick, n, epoch, tick)
	}
	n.s.at(time.Duration(n.s.rng.IntN(int(simTick))), n, epoch, tick)
}

// crash stops the replica. Of the write under way, any part may be durable.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.up = false
	if w := n.write; w != nil && !n.full {
		n.persist(w, n.s.rng.IntN(len(w.Entries)+1), n.s.rng.IntN(2) == 0, n.s.rng.IntN(2) == 0)
	}
	n.write = nil
}

func (n *simNode) freeze(d time.Duration) { n.wake = max(n.wake, n.s.now+d) }

func (n *simNode) lose() {
	n.crash()
	n.lost = true
	n.s.lostAt = n.s.now
	n.disk = agatequorum.Saved{}
}

// persist makes a part of a write durable: the snapshot, hard, and the first
// entries.
func (n *simNode) persist(w *agatequorum.Write, entries int, hard, snapshot bool) {
	d := &n.disk
	if w.Snapshot != nil {
		if !snapshot {
			return
		}
		sn := *w.Snapshot
		if !slices.ContainsFunc(d.Entries, func(e agatequorum.Entry) bool { return e.Index == sn.Index && e.Term == sn.Term }) {
			d.Entries = nil
		}
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e agatequorum.Entry) bool { return e.Index <= sn.Index })
		d.Snapshot = sn
		d.Fresh = false
	}
	if hard {
		d.Hard = w.Hard
		d.Fresh = false
	}
	for _, e := range w.Entries[:entries] {
		d.Entries = slices.DeleteFunc(d.Entries, func(old agatequorum.Entry) bool { return old.Index >= e.Index })
		d.Entries = append(d.Entries, e)
		d.Fresh = false
		n.s.oracle.noteDurable(n.id, e)
	}
}

func (n *simNode) act() {
	if !n.up {
		return
	}
	if n.due != nil && n.core.Compact(n.saved, n.due) {
		n.due = nil
	}
	rd := n.core.Ready()
	if rd.Fault != nil {
		n.s.t.Fatalf("replica %d: %v", n.id, rd.Fault)
	}
	for _, m := range rd.Messages {
		n.s.send(m)
	}
	if rd.Write != nil {
		n.write = rd.Write
		if n.fragile {
			n.fragile = false
			n.crash()
			return
		}
		n.startWrite()
	}
	if st := n.core.Status(); st.Role == agatequorum.Leader {
		n.s.oracle.noteLeader(st.Term, n.id)
	}
	n.apply(rd)
	for _, r := range rd.Reads {
		n.answer(r)
	}
}

func (n *simNode) startWrite() {
	d := n.s.fsync + time.Duration(n.s.rng.Float64()*float64(n.s.fsync))
	n.s.at(d, n, n.epoch, func() {
		if n.full {
			n.core.Advance(agatequorum.Done{Failed: true})
			n.startWrite()
			return
		}
		w := n.write
		n.write = nil
		n.persist(w, len(w.Entries), true, true)
		n.core.Advance(agatequorum.Done{Written: true})
	})
}

func (n *simNode) apply(rd agatequorum.Ready) {
	if sn := rd.Restore; sn != nil {
		n.applied, n.saved, n.chain = sn.Index, sn.Index, binary.BigEndian.Uint64(sn.Data)
		n.s.oracle.checkState(n)
		if !bytes.Equal(sn.Data, state(n.chain)) {
			n.s.t.Fatalf("replica %d restores a damaged snapshot %d", n.id, n.applied)
		}
	}
	for _, e := range rd.Committed {
		if e.Index != n.applied+1 {
			n.s.t.Fatalf("replica %d applies %d after %d", n.id, e.Index, n.applied)
		}
		n.applied = e.Index
		n.chain = link(n.chain, e)
		n.s.oracle.noteCommit(n, e)
		for _, a := range n.asked[e.Index] {
			if a.term == e.Term {
				n.acked++
				n.s.oracle.acked = max(n.s.oracle.acked, e.Index)
			}
		}
		delete(n.asked, e.Index)
	}
	if n.applied-n.saved >= n.s.every {
		n.saved = n.applied
		n.due = state(n.chain)
	}
}

// state is a snapshot of several chunks that all depend on the chain.
func state(chain uint64) []byte {
	var data []byte
	for i := range uint64(20) {
		data = binary.BigEndian.AppendUint64(data, chain+i)
	}
	return data
}

func link(chain uint64, e agatequorum.Entry) uint64 {
	data := binary.BigEndian.AppendUint64(nil, chain)
	data = binary.BigEndian.AppendUint64(data, e.Term)
	return xxhash.Sum64(append(append(data, byte(e.Kind)), e.Data...))
}

func (n *simNode) propose() agatequorum.Outcome {
	data := n.s.rng.Uint64()
	index, o := n.core.Propose(n.clock(), binary.BigEndian.AppendUint64(nil, data))
	if o == agatequorum.Accepted {
		n.asked[index] = append(n.asked[index], asked{term: n.core.Status().Term, data: data})
	}
	n.act()
	return o
}

func (n *simNode) read() agatequorum.Outcome {
	n.reads++
	n.floors[n.reads] = n.s.oracle.acked
	o := n.core.ReadIndex(n.clock(), n.reads)
	n.act()
	return o
}

func (n *simNode) answer(r agatequorum.Read) {
	floor := n.floors[r.ID]
	delete(n.floors, r.ID)
	if r.Lost {
		n.lostReads++
		return
	}
	n.confirmed++
	if r.Index < floor {
		n.s.t.Fatalf("replica %d reads at %d, but %d was acknowledged before", n.id, r.Index, floor)
	}
}

func (n *simNode) change(kind agatequorum.ChangeKind, id uint64) agatequorum.Outcome {
	return n.changeMembers(agatequorum.Change{Kind: kind, ID: id})
}

func (n *simNode) changeMembers(ch agatequorum.Change) agatequorum.Outcome {
	o := n.core.ChangeMembers(n.clock(), ch)
	if st := n.core.Status(); o == agatequorum.Accepted {
		n.s.changes = append(n.s.changes, proposed{index: st.Last, term: st.Term, members: st.Members})
	}
	n.act()
	return o
}

// settle ends all faults and checks that the group works again and that
// everything acknowledged is held by every member.
func (s *sim) settle() {
	s.heal()
	s.drop, s.dup, s.delay = 0, 0, time.Millisecond
	s.fsync = time.Millisecond
	for _, id := range s.ids {
		n := s.nodes[id]
		n.wake, n.full, n.fragile = 0, false, false
		if !n.up && !n.lost {
			n.start()
		}
	}
	end := s.now + 30*time.Second
	before := s.oracle.acked
	var next time.Duration
	ok := s.runUntil(end, func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		if s.now >= next {
			next = s.now + 50*time.Millisecond
			l.propose()
		}
		return s.oracle.acked > before && s.complete(l)
	})
	if !ok {
		for _, id := range s.ids {
			n := s.nodes[id]
			s.t.Logf("replica %d: up %v lost %v applied %d %+v", id, n.up, n.lost, n.applied, n.core.Status())
		}
		s.t.Fatalf("no progress within 30 s after all faults ended; %d acknowledged", s.oracle.acked)
	}
}

// complete reports whether each member that can run holds all that was
// acknowledged, with the leader's state.
func (s *sim) complete(l *simNode) bool {
	for _, m := range l.core.Status().Members {
		n := s.nodes[m.ID]
		if n.lost {
			continue
		}
		if n.applied < s.oracle.acked {
			return false
		}
		s.oracle.checkState(n)
	}
	return true
}

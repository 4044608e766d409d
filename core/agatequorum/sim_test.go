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
	simTick          = 10 * time.Millisecond
	simSnapshotEvery = 8 // entries between snapshots
)

// sim simulates a group on virtual time. The network drops, delays, duplicates
// and reorders messages, disks lose data that is not synced, and local clocks run
// at different rates.
type sim struct {
	t      failer
	rng    *rand.Rand
	now    time.Duration
	seq    uint64
	events events
	nodes  map[uint64]*simNode
	ids    []uint64

	// drop and dup are the probabilities that a message is lost or duplicated.
	drop, dup float64
	// maxJitter bounds the random delay that is added to the fixed delay of each
	// message. oneWayDelay is the fixed delay of messages to and from a replica; a
	// message takes the longer one of its sender and receiver.
	maxJitter   time.Duration
	oneWayDelay map[uint64]time.Duration
	// blocked holds the sender and receiver of each link that is down.
	blocked map[[2]uint64]bool
	// minWriteTime is the minimum duration of a write; writes take up to twice as
	// long.
	minWriteTime   time.Duration
	catchUpEntries int
	messageBytes   int
	maxInFlight    int
	snapshotEvery  int
	logBytes       int
	// stateBytes is the size of a snapshot, and commandBytes that of a command.
	stateBytes, commandBytes int
	// bandwidth is the rate, in bytes per second, at which a replica sends, or 0 for
	// no limit. sendingUntil is the time until which each one is busy.
	bandwidth    int
	sendingUntil map[uint64]time.Duration
	// sentBytes is the size of the entries and snapshots sent to each replica.
	sentBytes   map[uint64]int
	memberships []proposedMembers // all that leaders have proposed
	diskLostAt  time.Duration     // virtual time of the last lost disk
	oracle      oracle
	// onMessage is called for each message that a replica receives.
	onMessage func(n *simNode, m agatequorum.Message)
}

type event struct {
	at   time.Duration
	seq  uint64
	node *simNode
	// incarnation is the incarnation of node in which the event may run, or zero
	// for any.
	incarnation int
	run         func()
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
	s              *sim
	id             uint64
	addr           netip.AddrPort
	core           *agatequorum.Core
	bootstrap      agatequorum.Members
	disk           agatequorum.PersistentState
	write          *agatequorum.Write // in progress
	incarnation    int                // incremented at each start
	up             bool
	diskLost       bool
	writesFail     bool
	crashOnWrite   bool    // crashes during its next write
	clockRate      float64 // relative to virtual time
	frozenUntil    time.Duration
	applied        uint64 // index of the last applied entry
	stateHash      uint64 // hash over all applied entries
	schedule       agatequorum.SnapshotSchedule
	snapshotIndex  uint64                // index of the last snapshot
	dueSnapshot    []byte                // not yet accepted by Compact
	proposals      map[uint64][]proposal // uncommitted, by index
	minReadIndex   map[uint64]uint64     // lower bound of the result, by read ID
	lastReadID     uint64                // ID of the last read
	confirmedReads int
	lostReads      int
	ackedCount     int
}

type proposal struct{ term, data uint64 }

// proposedMembers is a membership that a leader appended to its log.
type proposedMembers struct {
	index   uint64
	term    uint64
	members agatequorum.Members
}

func newSim(t failer, seed uint64) *sim {
	return &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*simNode{},
		blocked: map[[2]uint64]bool{}, oneWayDelay: map[uint64]time.Duration{},
		maxJitter: time.Millisecond, minWriteTime: time.Millisecond, catchUpEntries: 4, messageBytes: 64, maxInFlight: 4, snapshotEvery: simSnapshotEvery,
		stateBytes: 160, commandBytes: 8, sendingUntil: map[uint64]time.Duration{}, sentBytes: map[uint64]int{},
		oracle: oracle{
			t: t, leaders: map[uint64]uint64{}, durable: map[position]map[uint64]bool{},
			hashes: map[uint64]uint64{0: 0}, terms: map[uint64]uint64{},
		},
	}
}

// startGroup bootstraps a group of n voters.
func (s *sim) startGroup(n uint64) {
	var ms agatequorum.Members
	for id := uint64(1); id <= n; id++ {
		ms = append(ms, agatequorum.Member{ID: id})
	}
	s.memberships = []proposedMembers{{index: 1, term: 1, members: ms}}
	for _, m := range ms {
		s.add(m.ID, ms)
	}
}

// add starts a replica with an empty disk.
func (s *sim) add(id uint64, bootstrap agatequorum.Members) *simNode {
	n := &simNode{s: s, id: id, bootstrap: bootstrap, clockRate: 0.955 + 0.09*s.rng.Float64()}
	n.disk.Fresh = true
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	n.start()
	return n
}

// schedule runs a function on node n after a delay, unless n has restarted since.
// An incarnation of zero matches any.
func (s *sim) schedule(delay time.Duration, n *simNode, incarnation int, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + delay, seq: s.seq, node: n, incarnation: incarnation, run: run})
}

func (s *sim) advance(d time.Duration) { s.runUntil(s.now+d, func() bool { return false }) }

// runUntil processes events until the time end or until done returns true, and
// reports whether it did.
func (s *sim) runUntil(end time.Duration, done func() bool) bool {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		n := e.node
		if !n.up || (e.incarnation != 0 && e.incarnation != n.incarnation) {
			continue
		}
		if n.frozenUntil > s.now {
			e.at = n.frozenUntil + time.Duration(s.rng.IntN(2000))*time.Microsecond
			heap.Push(&s.events, e)
			continue
		}
		e.run()
		n.processReady()
		if done() {
			return true
		}
	}
	s.now = max(s.now, end)
	return false
}

// leader returns the running leader with the highest term, or nil.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.ids {
		n := s.nodes[id]
		if !n.up || n.frozenUntil > s.now || n.core.Status().Role != agatequorum.Leader {
			continue
		}
		if best == nil || n.core.Status().Term > best.core.Status().Term {
			best = n
		}
	}
	return best
}

func (n *simNode) clock() time.Duration { return time.Duration(float64(n.s.now) * n.clockRate) }

func (n *simNode) start() {
	n.incarnation++
	n.up = true
	n.frozenUntil = 0
	n.applied, n.stateHash, n.snapshotIndex, n.dueSnapshot = 0, 0, 0, nil
	n.schedule = agatequorum.SnapshotSchedule{Entries: n.s.snapshotEvery, LogBytes: n.s.logBytes}
	if n.s.logBytes == 0 {
		n.schedule.LogBytes = agatequorum.DefaultLogBytes
	}
	n.proposals = map[uint64][]proposal{}
	n.minReadIndex = map[uint64]uint64{}
	saved := n.disk
	saved.Entries = slices.Clone(saved.Entries)
	n.core = agatequorum.New(agatequorum.Config{
		ID: n.id, Bootstrap: n.bootstrap, Rand: n.s.rng.Uint64, MaxMessageBytes: n.s.messageBytes, MaxInFlight: n.s.maxInFlight, CatchUpEntries: n.s.catchUpEntries, LogBytes: n.s.logBytes,
	}, saved)
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		n.core.Tick(n.clock())
		n.s.schedule(simTick, n, incarnation, tick)
	}
	n.s.schedule(time.Duration(n.s.rng.IntN(int(simTick))), n, incarnation, tick)
}

// crash stops the replica. Any part of the write in progress may be durable.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.up = false
	if w := n.write; w != nil && !n.writesFail {
		n.persist(w, n.s.rng.IntN(len(w.Entries)+1), n.s.rng.IntN(2) == 0, n.s.rng.IntN(2) == 0)
	}
	n.write = nil
}

func (n *simNode) freeze(d time.Duration) { n.frozenUntil = max(n.frozenUntil, n.s.now+d) }

func (n *simNode) loseDisk() {
	n.crash()
	n.diskLost = true
	n.s.diskLostAt = n.s.now
	n.disk = agatequorum.PersistentState{}
}

// persist makes a part of a write durable: the snapshot and the hard state if
// requested, and the given number of entries.
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
		d.HardState = w.HardState
		d.Fresh = false
	}
	for _, e := range w.Entries[:entries] {
		d.Entries = slices.DeleteFunc(d.Entries, func(old agatequorum.Entry) bool { return old.Index >= e.Index })
		d.Entries = append(d.Entries, e)
		d.Fresh = false
		n.s.oracle.recordDurable(n.id, e)
	}
}

// processReady does the work that Ready returns, and passes a due snapshot to
// Compact.
func (n *simNode) processReady() {
	if !n.up {
		return
	}
	if n.dueSnapshot != nil && n.core.Compact(n.snapshotIndex, n.dueSnapshot) {
		n.dueSnapshot = nil
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
		if n.crashOnWrite {
			n.crashOnWrite = false
			n.crash()
			return
		}
		n.startWrite()
	}
	if st := n.core.Status(); st.Role == agatequorum.Leader {
		n.s.oracle.recordLeader(st.Term, n.id)
	}
	n.apply(rd)
	for _, r := range rd.Reads {
		n.recordRead(r)
	}
}

func (n *simNode) startWrite() {
	d := n.s.minWriteTime + time.Duration(n.s.rng.Float64()*float64(n.s.minWriteTime))
	n.s.schedule(d, n, n.incarnation, func() {
		if n.writesFail {
			n.core.Advance(agatequorum.WriteResult{Failed: true})
			n.startWrite()
			return
		}
		w := n.write
		n.write = nil
		n.persist(w, len(w.Entries), true, true)
		n.core.Advance(agatequorum.WriteResult{Written: true})
	})
}

func (n *simNode) apply(rd agatequorum.Ready) {
	if sn := rd.Restore; sn != nil {
		n.applied, n.snapshotIndex, n.stateHash = sn.Index, sn.Index, binary.BigEndian.Uint64(sn.Data)
		n.schedule.Taken(len(sn.Data))
		n.s.oracle.checkState(n)
		if !bytes.Equal(sn.Data, snapshotData(n.stateHash, len(sn.Data))) {
			n.s.t.Fatalf("replica %d restored a corrupt snapshot at index %d", n.id, n.applied)
		}
	}
	for _, e := range rd.Committed {
		if e.Index != n.applied+1 {
			n.s.t.Fatalf("replica %d applied index %d after index %d", n.id, e.Index, n.applied)
		}
		n.applied = e.Index
		n.stateHash = hashEntry(n.stateHash, e)
		n.schedule.Applied(e)
		n.s.oracle.recordCommit(n, e)
		for _, p := range n.proposals[e.Index] {
			if p.term == e.Term {
				n.ackedCount++
				n.s.oracle.ackedIndex = max(n.s.oracle.ackedIndex, e.Index)
			}
		}
		delete(n.proposals, e.Index)
	}
	n.schedule.Entries = n.s.snapshotEvery
	if n.schedule.Due() {
		n.snapshotIndex = n.applied
		n.dueSnapshot = snapshotData(n.stateHash, n.s.stateBytes)
		n.schedule.Taken(len(n.dueSnapshot))
	}
}

// snapshotData returns a snapshot of several chunks, all of which depend on hash.
func snapshotData(hash uint64, size int) []byte {
	var data []byte
	for i := range uint64(size / 8) {
		data = binary.BigEndian.AppendUint64(data, hash+i)
	}
	return data
}

// hashEntry returns the hash over the entries so far and e.
func hashEntry(hash uint64, e agatequorum.Entry) uint64 {
	data := binary.BigEndian.AppendUint64(nil, hash)
	data = binary.BigEndian.AppendUint64(data, e.Term)
	return xxhash.Sum64(append(append(data, byte(e.Kind)), e.Data...))
}

func (n *simNode) propose() agatequorum.Outcome {
	data := n.s.rng.Uint64()
	command := binary.BigEndian.AppendUint64(make([]byte, n.s.commandBytes-8), data)
	index, o := n.core.Propose(n.clock(), command)
	if o == agatequorum.Accepted {
		n.proposals[index] = append(n.proposals[index], proposal{term: n.core.Status().Term, data: data})
	}
	n.processReady()
	return o
}

func (n *simNode) read() agatequorum.Outcome {
	n.lastReadID++
	n.minReadIndex[n.lastReadID] = n.s.oracle.ackedIndex
	o := n.core.ReadIndex(n.clock(), n.lastReadID)
	n.processReady()
	return o
}

func (n *simNode) recordRead(r agatequorum.Read) {
	minIndex := n.minReadIndex[r.ID]
	delete(n.minReadIndex, r.ID)
	if r.LeadershipLost {
		n.lostReads++
		return
	}
	n.confirmedReads++
	if r.Index < minIndex {
		n.s.t.Fatalf("stale read on replica %d: read index %d, but index %d was acknowledged before the read", n.id, r.Index, minIndex)
	}
}

func (n *simNode) change(kind agatequorum.ChangeKind, id uint64) agatequorum.Outcome {
	return n.changeMembers(agatequorum.Change{Kind: kind, ID: id})
}

func (n *simNode) changeMembers(ch agatequorum.Change) agatequorum.Outcome {
	o := n.core.ChangeMembers(n.clock(), ch)
	if st := n.core.Status(); o == agatequorum.Accepted {
		n.s.memberships = append(n.s.memberships, proposedMembers{index: st.LastIndex, term: st.Term, members: st.Members})
	}
	n.processReady()
	return o
}

// checkRecovery ends all faults and checks that the group commits entries again
// and that all members have applied everything that was acknowledged.
func (s *sim) checkRecovery() {
	s.healNetwork()
	s.drop, s.dup, s.maxJitter = 0, 0, time.Millisecond
	s.minWriteTime = time.Millisecond
	for _, id := range s.ids {
		n := s.nodes[id]
		n.frozenUntil, n.writesFail, n.crashOnWrite = 0, false, false
		if !n.up && !n.diskLost {
			n.start()
		}
	}
	end := s.now + 30*time.Second
	before := s.oracle.ackedIndex
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
		return s.oracle.ackedIndex > before && s.allCaughtUp(l)
	})
	if !ok {
		for _, id := range s.ids {
			n := s.nodes[id]
			s.t.Logf("replica %d: up %v disk lost %v applied %d %+v", id, n.up, n.diskLost, n.applied, n.core.Status())
		}
		s.t.Fatalf("group did not recover within 30 s after all faults ended; acknowledged up to index %d", s.oracle.ackedIndex)
	}
}

// allCaughtUp reports whether all members with an intact disk have applied
// everything that was acknowledged. It also checks their state.
func (s *sim) allCaughtUp(l *simNode) bool {
	for _, m := range l.core.Status().Members {
		n := s.nodes[m.ID]
		if n.diskLost {
			continue
		}
		if n.applied < s.oracle.ackedIndex {
			return false
		}
		s.oracle.checkState(n)
	}
	return true
}

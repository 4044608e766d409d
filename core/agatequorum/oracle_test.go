package agatequorum_test

import "agategate/core/agatequorum"

type position struct{ index, term uint64 }

// oracle checks the safety properties of Raft: at most one leader per term,
// commits only with durable copies on a majority, and equal state at each index.
type oracle struct {
	t       failer
	leaders map[uint64]uint64
	// durable holds the replicas on which an entry has ever been durable.
	durable map[position]map[uint64]bool
	// hashes and terms hold the state hash and the term at each index of the
	// committed log.
	hashes map[uint64]uint64
	terms  map[uint64]uint64
	// ackedIndex is the highest index that was acknowledged to a caller.
	ackedIndex uint64
}

func (o *oracle) recordLeader(term, id uint64) {
	if other, ok := o.leaders[term]; ok && other != id {
		o.t.Fatalf("replicas %d and %d are both leader in term %d", other, id, term)
	}
	o.leaders[term] = id
}

func (o *oracle) recordDurable(id uint64, e agatequorum.Entry) {
	p := position{e.Index, e.Term}
	if o.durable[p] == nil {
		o.durable[p] = map[uint64]bool{}
	}
	o.durable[p][id] = true
}

func (o *oracle) recordCommit(n *simNode, e agatequorum.Entry) {
	if _, known := o.hashes[e.Index]; known {
		o.checkState(n)
		return
	}
	o.hashes[e.Index] = n.stateHash
	o.terms[e.Index] = e.Term
	if e.Index == 1 {
		return // the initial membership is committed by configuration
	}
	ms := n.core.Status().Members
	copies := 0
	for id := range o.durable[position{e.Index, e.Term}] {
		if ms.IsVoter(id) {
			copies++
		}
	}
	if 2*copies <= ms.VoterCount() {
		o.t.Fatalf("replica %d committed index %d with durable copies on only %d of %d voters", n.id, e.Index, copies, ms.VoterCount())
	}
}

func (o *oracle) checkState(n *simNode) {
	if o.hashes[n.applied] != n.stateHash {
		o.t.Fatalf("state of replica %d at index %d differs from the committed state", n.id, n.applied)
	}
}

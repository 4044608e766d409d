package agatequorum_test

import "agategate/core/agatequorum"

type position struct{ index, term uint64 }

// oracle knows what the group has promised.
type oracle struct {
	t       failer
	leaders map[uint64]uint64
	// durable holds which replicas ever held an entry durably.
	durable map[position]map[uint64]bool
	// chain and terms describe the committed log.
	chain map[uint64]uint64
	terms map[uint64]uint64
	acked uint64
}

func (o *oracle) noteLeader(term, id uint64) {
	if other, ok := o.leaders[term]; ok && other != id {
		o.t.Fatalf("replicas %d and %d lead term %d", other, id, term)
	}
	o.leaders[term] = id
}

func (o *oracle) noteDurable(id uint64, e agatequorum.Entry) {
	p := position{e.Index, e.Term}
	if o.durable[p] == nil {
		o.durable[p] = map[uint64]bool{}
	}
	o.durable[p][id] = true
}

func (o *oracle) noteCommit(n *simNode, e agatequorum.Entry) {
	if _, known := o.chain[e.Index]; known {
		o.checkState(n)
		return
	}
	o.chain[e.Index] = n.chain
	o.terms[e.Index] = e.Term
	if e.Index == 1 {
		return // the first membership is committed by agreement
	}
	ms := n.core.Status().Members
	copies := 0
	for id := range o.durable[position{e.Index, e.Term}] {
		if ms.Voter(id) {
			copies++
		}
	}
	if 2*copies <= ms.Voters() {
		o.t.Fatalf("replica %d commits %d with %d durable copies of %d voters", n.id, e.Index, copies, ms.Voters())
	}
}

func (o *oracle) checkState(n *simNode) {
	if o.chain[n.applied] != n.chain {
		o.t.Fatalf("replica %d holds another state at %d than was committed", n.id, n.applied)
	}
}

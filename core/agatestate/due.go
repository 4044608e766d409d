package agatestate

import "container/heap"

// dueQueue is a priority queue of records, ordered by the state time at which
// they are due and then by creation. It implements heap.Interface.
type dueQueue []*record

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].createdIndex < q[j].createdIndex
}

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].pos = i
	q[j].pos = j
}

// Push is called only by container/heap.
func (q *dueQueue) Push(x any) {
	r := x.(*record)
	r.pos = len(*q)
	*q = append(*q, r)
}

// Pop is called only by container/heap.
func (q *dueQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

func (q *dueQueue) push(r *record)   { heap.Push(q, r) }
func (q *dueQueue) fix(r *record)    { heap.Fix(q, r.pos) }
func (q *dueQueue) remove(r *record) { heap.Remove(q, r.pos) }

// expire applies an Expire command, which expires due records while no other
// commands are proposed.
func (m *Machine) expire(c *Expire) Result {
	limit := c.Limit
	if limit == 0 {
		limit = defaultExpireLimit
	}
	return Result{Verdict: Expired, Count: m.expireDue(limit)}
}

// expireDue expires up to limit due records and returns their number.
func (m *Machine) expireDue(limit int) int {
	q := &m.actions.queue
	n := 0
	for n < limit && len(*q) > 0 && (*q)[0].due <= m.now {
		m.expireRecord((*q)[0])
		n++
	}
	return n
}

// expireRecord expires one due record: a claimed record becomes unknown, any
// other is deleted. It reports whether the record still exists.
func (m *Machine) expireRecord(r *record) bool {
	if r.state == claimed {
		m.updateRecord(r, func() {
			r.state = unknown
			r.due += millis(m.cfg.Retention)
		})
		return true
	}
	a := &m.actions
	a.counts[r.state]--
	a.bytes -= r.size()
	a.floorIndex = max(a.floorIndex, r.changedIndex)
	a.floorHoldUntil = max(a.floorHoldUntil, r.holdUntil)
	a.queue.remove(r)
	delete(a.records, r.key)
	return false
}

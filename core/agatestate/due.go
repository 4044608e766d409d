package agatestate

import "container/heap"

// dueQueue orders records by the state time of their next change, and by
// creation among equals. It implements heap.Interface.
type dueQueue []*record

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].created < q[j].created
}

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].pos = i
	q[j].pos = j
}

// Push is called by container/heap only.
func (q *dueQueue) Push(x any) {
	r := x.(*record)
	r.pos = len(*q)
	*q = append(*q, r)
}

// Pop is called by container/heap only.
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

// expire is the command that handles due records while nothing else is
// proposed.
func (m *Machine) expire(c *Expire) Result {
	limit := c.Limit
	if limit == 0 {
		limit = defaultExpireLimit
	}
	return Result{Verdict: Expired, Count: m.handleDue(limit)}
}

// handleDue makes the due changes of up to limit records and returns their
// number.
func (m *Machine) handleDue(limit int) int {
	q := &m.actions.queue
	n := 0
	for n < limit && len(*q) > 0 && (*q)[0].due <= m.now {
		m.handle((*q)[0])
		n++
	}
	return n
}

// handle makes the due change of one record and reports whether the record
// is still there.
func (m *Machine) handle(r *record) bool {
	if r.state == claimed {
		m.change(r, func() {
			r.state = unknown
			r.due += millis(m.cfg.Retention)
		})
		return true
	}
	a := &m.actions
	a.counts[r.state]--
	a.bytes -= r.size()
	a.floor = max(a.floor, r.touched)
	a.floorHold = max(a.floorHold, r.hold)
	a.queue.remove(r)
	delete(a.records, r.name)
	return false
}

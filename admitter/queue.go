package admitter

import (
	"container/heap"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// fairQueue holds the requests of one service that wait to start.
//
// Within a priority it is start-time fair queueing over customers (Goyal, Vin
// and Cheng, "Start-time Fair Queuing: A Scheduling Algorithm for Integrated
// Services Packet Switching Networks", SIGCOMM 1996): the customer whose head
// has the lowest start tag goes next, and its next tag is cost/weight later.
// Only heads carry tags, so that a request taken out of the middle leaves
// nothing to correct.
type fairQueue struct {
	classes [priorities]class
	// batchShare is the part of the tokens that batch gets while both wait.
	batchShare identifier.Share
	// batchCredit is what batch is owed, in tokens.
	batchCredit float64
	length      int
}

// class is the queue of one priority.
type class struct {
	flows   map[identifier.Customer]*flow
	active  flowHeap
	virtual float64
	tokens  float64
}

// flow is the queue of one customer in one priority.
type flow struct {
	customer identifier.Customer
	weight   float64
	waiting  []*waiter
	tokens   float64
	// start is the tag of the head, finish that of the last one taken.
	start, finish float64
	index         int
}

// idleCredit is how many requests a customer that had nothing waiting may start
// ahead of its turn, so that two requests that come together are no slower than
// two that come apart (a bounded warp: Duda and Cheriton, "Borrowed-Virtual-Time
// Scheduling", SOSP 1999).
const idleCredit = 2

// push adds w at the end of its customer's flow.
func (q *fairQueue) push(w *waiter, weight float64) {
	c := &q.classes[w.req.Priority]
	f := c.flow(w.req.Customer)
	f.weight = weight
	f.waiting = append(f.waiting, w)
	f.tokens += w.cost
	c.tokens += w.cost
	q.length++
	if len(f.waiting) == 1 {
		f.start = max(c.virtual-idleCredit*w.cost/weight, f.finish)
		heap.Push(&c.active, f)
	}
}

// pop takes the request that is to start next, or nil.
func (q *fairQueue) pop() *waiter {
	interactive, batch := &q.classes[Interactive], &q.classes[Batch]
	switch {
	case len(interactive.active) == 0 && len(batch.active) == 0:
		return nil
	case len(batch.active) == 0:
		q.batchCredit = 0
		return q.popFrom(interactive)
	case len(interactive.active) == 0:
		return q.popFrom(batch)
	}
	head := batch.active[0].waiting[0]
	if q.batchCredit >= head.cost {
		q.batchCredit -= head.cost
		return q.popFrom(batch)
	}
	w := q.popFrom(interactive)
	q.batchCredit += w.cost * float64(q.batchShare)
	return w
}

// popFrom takes the head with the lowest start tag.
func (q *fairQueue) popFrom(c *class) *waiter {
	f := c.active[0]
	w := f.waiting[0]
	c.virtual = max(c.virtual, f.start)
	f.finish = f.start + w.cost/f.weight
	f.start = f.finish
	q.removeAt(c, f, 0)
	return w
}

// remove takes w out wherever it stands and reports whether it was there.
func (q *fairQueue) remove(w *waiter) bool {
	c := &q.classes[w.req.Priority]
	f, ok := c.flows[w.req.Customer]
	if !ok {
		return false
	}
	i := slices.Index(f.waiting, w)
	if i < 0 {
		return false
	}
	q.removeAt(c, f, i)
	return true
}

// removeAt takes the i-th request out of f and keeps the heap in order.
func (q *fairQueue) removeAt(c *class, f *flow, i int) {
	w := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.tokens -= w.cost
	c.tokens -= w.cost
	q.length--
	if len(f.waiting) == 0 {
		f.waiting, f.tokens = nil, 0
		heap.Remove(&c.active, f.index)
		return
	}
	heap.Fix(&c.active, f.index)
}

// longest returns the newest request of the flow with the most tokens waiting
// for its weight; batch is looked at first. It is what makes room when the
// queue is full.
func (q *fairQueue) longest() *waiter {
	for _, p := range []Priority{Batch, Interactive} {
		var worst *flow
		for _, f := range q.classes[p].active {
			if worst == nil || f.tokens/f.weight > worst.tokens/worst.weight {
				worst = f
			}
		}
		if worst != nil {
			return worst.waiting[len(worst.waiting)-1]
		}
	}
	return nil
}

// expired returns the waiting requests whose latest start has passed.
func (q *fairQueue) expired(now time.Time) []*waiter {
	var late []*waiter
	for p := range q.classes {
		for _, f := range q.classes[p].active {
			for _, w := range f.waiting {
				if !w.latest.IsZero() && now.After(w.latest) {
					late = append(late, w)
				}
			}
		}
	}
	return late
}

// ahead returns about how many tokens would start before a new request r, of a
// customer of that weight. Of each other customer it is what its tags have
// fallen behind, and on average half a request more.
func (q *fairQueue) ahead(r *Request, weight float64) float64 {
	c := &q.classes[r.Priority]
	start := c.virtual - idleCredit*r.cost()/weight
	if f, ok := c.flows[r.Customer]; ok {
		start = max(start, f.finish) + f.tokens/weight
	}
	var sum float64
	for _, f := range c.active {
		switch {
		case f.customer == r.Customer:
			sum += f.tokens
		case f.start < start:
			sum += min(f.tokens, (start-f.start)*f.weight+f.waiting[0].cost/2)
		}
	}
	if r.Priority == Batch {
		sum += q.classes[Interactive].tokens
	}
	return sum
}

// flow returns the flow of a customer, made at its first request.
func (c *class) flow(customer identifier.Customer) *flow {
	f, ok := c.flows[customer]
	if !ok {
		if c.flows == nil {
			c.flows = make(map[identifier.Customer]*flow)
		}
		f = &flow{customer: customer, weight: 1}
		c.flows[customer] = f
	}
	return f
}

// flowHeap orders flows by the start tag of their heads.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].customer < h[j].customer
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}

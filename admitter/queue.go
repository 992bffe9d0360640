package admitter

import (
	"container/heap"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// fairQueue holds the queued requests of one service.
//
// Within a priority it applies start-time fair queueing over customers (Goyal,
// Vin and Cheng, "Start-time Fair Queuing: A Scheduling Algorithm for
// Integrated Services Packet Switching Networks", SIGCOMM 1996): the customer
// whose head has the lowest start tag goes next, and the start tag of its next
// request is larger by cost/weight. Only heads carry tags, so that removing a
// request from the middle requires no correction.
type fairQueue struct {
	classes [priorities]class
	// batchShare is the tokens that batch requests get per token of interactive
	// requests while both are queued.
	batchShare identifier.Share
	// batchCredit is the number of tokens that batch requests have earned and
	// not used.
	batchCredit float64
	length      int
}

// class is the queue of one priority.
type class struct {
	flows       map[identifier.Customer]*flow
	active      flowHeap
	virtualTime float64
	tokens      float64
}

// flow is the queue of one customer in one priority.
type flow struct {
	customer identifier.Customer
	weight   float64
	waiting  []*waiter
	tokens   float64
	// startTag is that of the head, finishTag that of the last request started.
	startTag, finishTag float64
	index               int
}

// idleCredit is the number of requests by which the start tag of a customer
// with an empty flow may precede the virtual time, so that two requests that
// arrive together are no slower than two that arrive apart (a bounded warp:
// Duda and Cheriton, "Borrowed-Virtual-Time Scheduling", SOSP 1999).
const idleCredit = 2

// push appends w to its customer's flow.
func (q *fairQueue) push(w *waiter, weight float64) {
	c := &q.classes[w.req.Priority]
	f := c.flow(w.req.Customer)
	f.weight = weight
	f.waiting = append(f.waiting, w)
	f.tokens += w.cost
	c.tokens += w.cost
	q.length++
	if len(f.waiting) == 1 {
		f.startTag = max(c.virtualTime-idleCredit*w.cost/weight, f.finishTag)
		heap.Push(&c.active, f)
	}
}

// pop removes and returns the request that is to start next, or nil.
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

// popFrom removes and returns the head with the lowest start tag.
func (q *fairQueue) popFrom(c *class) *waiter {
	f := c.active[0]
	w := f.waiting[0]
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.finishTag = f.startTag + w.cost/f.weight
	f.startTag = f.finishTag
	q.removeAt(c, f, 0)
	return w
}

// remove removes w and reports whether it was queued.
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

// removeAt removes the i-th request of f and restores the order of the heap.
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

// evictionCandidate returns the request to evict when the queue is full: the
// newest of the flow with the most waiting tokens for its weight, among batch
// requests if there are any.
func (q *fairQueue) evictionCandidate() *waiter {
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

// expired returns the queued requests whose latest start has passed.
func (q *fairQueue) expired(now time.Time) []*waiter {
	var late []*waiter
	for p := range q.classes {
		for _, f := range q.classes[p].active {
			for _, w := range f.waiting {
				if !w.latestStart.IsZero() && now.After(w.latestStart) {
					late = append(late, w)
				}
			}
		}
	}
	return late
}

// tokensAhead estimates how many tokens would start before a new request r of a
// customer with that weight. For each other customer it counts the tokens until
// its start tag reaches that of r, plus on average half a request.
func (q *fairQueue) tokensAhead(r *Request, weight float64) float64 {
	c := &q.classes[r.Priority]
	start := c.virtualTime - idleCredit*r.cost()/weight
	if f, ok := c.flows[r.Customer]; ok {
		start = max(start, f.finishTag) + f.tokens/weight
	}
	var sum float64
	for _, f := range c.active {
		switch {
		case f.customer == r.Customer:
			sum += f.tokens
		case f.startTag < start:
			sum += min(f.tokens, (start-f.startTag)*f.weight+f.waiting[0].cost/2)
		}
	}
	if r.Priority == Batch {
		sum += q.classes[Interactive].tokens
	}
	return sum
}

// flow returns the flow of a customer and creates it if there is none.
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
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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

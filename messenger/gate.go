package messenger

import "sync"

const (
	// largeAnswer is from how many bytes on an answer passes the gate.
	largeAnswer = 64 << 10
	// answerBudget bounds the bytes of large answers under way. Each is held twice
	// while it is written. The load pattern is hundreds of hosts that fetch one
	// large document at once, as after a change of leaders.
	answerBudget = 16 << 20
)

// gate lets through what a budget has room for.
type gate struct {
	budget int

	mu    sync.Mutex
	free  *sync.Cond
	taken int
}

// newGate returns a gate with a budget.
func newGate(budget int) *gate {
	g := &gate{budget: budget}
	g.free = sync.NewCond(&g.mu)
	return g
}

// enter waits until there is room for n and takes it. What is larger than the whole
// budget passes alone.
func (g *gate) enter(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.taken > 0 && g.taken+n > g.budget {
		g.free.Wait()
	}
	g.taken += n
}

// leave gives room back.
func (g *gate) leave(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken -= n
	g.free.Broadcast()
}

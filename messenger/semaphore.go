package messenger

import "sync"

const (
	// largeResponseBytes is the size from which a response counts against
	// largeResponseBudget.
	largeResponseBytes = 64 << 10
	// largeResponseBudget bounds the total bytes of large responses in flight. Each
	// is in memory twice while it is written. Hundreds of hosts may fetch one
	// large document concurrently, for example after a change of leader.
	largeResponseBudget = 16 << 20
)

// byteSemaphore is a weighted semaphore over a budget of bytes.
type byteSemaphore struct {
	budget int

	mu       sync.Mutex
	released *sync.Cond
	inUse    int
}

// newByteSemaphore returns a semaphore with a budget in bytes.
func newByteSemaphore(budget int) *byteSemaphore {
	s := &byteSemaphore{budget: budget}
	s.released = sync.NewCond(&s.mu)
	return s
}

// acquire waits until n bytes of the budget are free and acquires them. If n
// exceeds the budget, it waits until nothing else is acquired.
func (s *byteSemaphore) acquire(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inUse > 0 && s.inUse+n > s.budget {
		s.released.Wait()
	}
	s.inUse += n
}

// release returns n bytes to the budget.
func (s *byteSemaphore) release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse -= n
	s.released.Broadcast()
}

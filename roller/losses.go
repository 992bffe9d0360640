package roller

import (
	"sync"
	"sync/atomic"

	"cyclamenhub.org/identifier"
)

// maxLostServers bounds the servers whose loss is remembered.
const maxLostServers = 1024

// losses tells the loss of a host from the crashes of a version. The first
// loss of a server is put down to its host, along with all requests that were
// at work then. A request that was drawn later and reached the server shows
// that it came back; when that request is lost too, its version is to blame.
type losses struct {
	// count numbers the losses.
	count atomic.Uint64

	mu   sync.Mutex
	last map[identifier.BackendServer]uint64
}

// lost notes that server b lost a request that was drawn after the given number
// of losses, and reports whether its version is to blame.
func (l *losses) lost(b identifier.BackendServer, drawnAfter uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier, known := l.last[b]
	if known && drawnAfter < earlier {
		return false
	}
	if !known && len(l.last) >= maxLostServers {
		return false
	}
	if l.last == nil {
		l.last = make(map[identifier.BackendServer]uint64)
	}
	l.last[b] = l.count.Add(1)
	return known
}

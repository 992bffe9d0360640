package roller

import (
	"sync"
	"sync/atomic"

	"cyclamenhub.org/identifier"
)

// maxLostServers is the maximum number of servers whose losses are recorded.
const maxLostServers = 1024

// lossTracker distinguishes the loss of a host from crashes of a version. The
// first loss of a server is attributed to its host, together with all requests
// that were in flight on it. If a request that was assigned later reached the
// server, the server had recovered; if that request is lost too, the loss is
// attributed to the version.
type lossTracker struct {
	// count is the number of losses so far.
	count atomic.Uint64

	mu   sync.Mutex
	last map[identifier.BackendServer]uint64
}

// record records that server b lost a request that was assigned after the given
// number of losses. It reports whether the loss is attributed to the version.
func (l *lossTracker) record(b identifier.BackendServer, lossesBefore uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier, known := l.last[b]
	if known && lossesBefore < earlier {
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

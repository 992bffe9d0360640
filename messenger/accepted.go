package messenger

// tracked is what became of an accepted session.
type tracked uint8

const (
	// trackServed: the session is served.
	trackServed tracked = iota
	// trackFull: there is no room for it.
	trackFull
	// trackClosed: the Messenger is closed.
	trackClosed
)

// trackAccepted records an accepted session, so that Close ends it. Where there are too many,
// the oldest one on which no call has come makes room.
func (m *Messenger) trackAccepted(s *session) tracked {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return trackClosed
	}
	if m.opts.MaxAccepted > 0 && len(m.accepted) >= m.opts.MaxAccepted && !m.dropUnused() {
		sessionsRefused.Inc()
		return trackFull
	}
	m.accepted[s] = struct{}{}
	return trackServed
}

// dropUnused closes the oldest session on which no call has come, and reports whether there
// is one. The caller holds mu.
func (m *Messenger) dropUnused() bool {
	var oldest *session
	for s := range m.accepted {
		if !s.isUsed.Load() && (oldest == nil || s.began.Before(oldest.began)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	sessionsRefused.Inc()
	delete(m.accepted, oldest)
	go oldest.close() // Closing waits for the session's reader.
	return true
}

//go:build crowd

package crowder

import (
	"io"
	"testing"
	"time"

	"cyclamenhub.org/platform/standin"
)

// answerCrowd is the number of callers that read no answer; the answers together have
// twice the memory of the machine.
const answerCrowd = 2 * memoryMB << 20 / largeBytes

// TestUnreadAnswersFillMemory guards against a host that holds all large answers which
// their callers do not read.
func TestUnreadAnswersFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, answerCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look"+standin.LargePath, sized(0))
	c.awaitAnswers()
	s.checkCrowd(c, 1)
}

// awaitAnswers makes each member read the status of its answer and no more.
func (c *crowd) awaitAnswers() {
	c.t.Helper()
	statuses := make([]string, len(c.members))
	c.each(func(i int, m *member) {
		if m.conn == nil {
			return
		}
		err := m.conn.SetReadDeadline(time.Now().Add(patience))
		if err == nil {
			status := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(m.conn, status)
			statuses[i] = string(status)
		}
		if err != nil {
			m.state = closed
			statuses[i] = err.Error()
		}
	})
	counts := make(map[string]int)
	for _, s := range statuses {
		counts[s]++
	}
	c.t.Logf("answers: %v", counts)
}

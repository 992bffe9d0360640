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

// awaitAnswers makes each member read the first byte of its answer and no more.
func (c *crowd) awaitAnswers() {
	c.each(func(i int, m *member) {
		if m.conn == nil {
			return
		}
		err := m.conn.SetReadDeadline(time.Now().Add(patience))
		if err == nil {
			_, err = io.ReadFull(m.conn, make([]byte, 1))
		}
		if err != nil {
			m.state = closed
			c.t.Logf("member %d has no answer: %v", i, err)
		}
	})
}

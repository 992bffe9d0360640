package forwarder

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// copyMoment is when a server writes the copy of an answer.
type copyMoment uint8

// Moments of copies.
const (
	noCopy copyMoment = iota
	copyAtOnce
	copyLater
	copyBeforeNextAnswer
	copyInPieces
	copyCutOff
)

// copyDelay is how long after an answer a late copy of it is written.
const copyDelay = time.Millisecond

// reaction is what a copyingServer does with a request: it refuses it with a status, or
// runs it if that is 0.
type reaction struct {
	refusal int
	copies  copyMoment
	// cutAt is the share of a copy that is cut off after which it ends, in hundredths.
	cutAt int
}

// copyingServer is a backend server that writes copies of its answers. It answers its
// requests by a script, and runs those beyond it.
type copyingServer struct {
	mu     sync.Mutex
	script []reaction
	runs   map[string]int
}

// setScript sets the reactions to the next requests.
func (s *copyingServer) setScript(script []reaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.runs = script, make(map[string]int)
}

// react returns the reaction to a request and counts its run.
func (s *copyingServer) react(id string) reaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r reaction
	if len(s.script) > 0 {
		r, s.script = s.script[0], s.script[1:]
	}
	if r.refusal == 0 {
		s.runs[id]++
	}
	return r
}

// runsOf returns how often a request ran.
func (s *copyingServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// serve answers the requests of one connection.
func (s *copyingServer) serve(c net.Conn) {
	var write sync.Mutex
	send := func(text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = io.WriteString(c, text)
	}
	br := bufio.NewReader(c)
	held := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(testID)
		re := s.react(id)
		answer := sealedResponse(http.StatusOK, idLine(id), id)
		if re.refusal != 0 {
			answer = refusalOf(re.refusal, id)
		}
		send(held)
		held = ""
		switch re.copies {
		case noCopy:
			send(answer)
		case copyAtOnce:
			send(answer + answer)
		case copyLater:
			send(answer)
			time.AfterFunc(copyDelay, func() { send(answer) })
		case copyBeforeNextAnswer:
			send(answer)
			held = answer
		case copyInPieces:
			send(answer + answer[:len(answer)/2])
			time.AfterFunc(copyDelay, func() { send(answer[len(answer)/2:]) })
		case copyCutOff:
			send(answer)
			held = answer[:len(answer)*re.cutAt/100]
		}
	}
}

// TestCopiedAnswersRunNoCallTwice checks that a call that runs once does so whatever copies
// of answers its servers write, and that its caller is never told that it has not run if it
// has. Callers send refused calls again under their ids.
func TestCopiedAnswersRunNoCallTwice(t *testing.T) {
	h := newHarness(t)
	servers := []*copyingServer{{}, {}}
	addresses := []string{listen(t, servers[0].serve), listen(t, servers[1].serve)}
	reactions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) reaction {
		return reaction{
			refusal: rapid.SampledFrom([]int{0, 503, 503, 429, 421}).Draw(t, "refusal"),
			copies:  copyMoment(rapid.Uint8Range(0, uint8(copyCutOff)).Draw(t, "copy")),
			cutAt:   rapid.IntRange(1, 99).Draw(t, "cut at"),
		}
	}), 1, 12)
	check := 0
	rapid.Check(t, func(rt *rapid.T) {
		check++
		listed := rapid.SliceOfN(rapid.SampledFrom(addresses), 1, 4).Draw(rt, "listed")
		for _, s := range servers {
			s.setScript(reactions.Draw(rt, "script"))
		}
		for call := range rapid.IntRange(1, 4).Draw(rt, "calls") {
			id := fmt.Sprintf("id-%d-%d", check, call)
			for sends := rapid.IntRange(1, 3).Draw(rt, "sends"); sends > 0; sends-- {
				h.useAddresses(listed...) // Servers that were refused at are listed anew.
				res := h.callAs(t, id, http.MethodPost, "/file/1", "key", "x")
				runs := servers[0].runsOf(id) + servers[1].runsOf(id)
				if runs > 1 {
					rt.Fatalf("%s ran %d times", id, runs)
				}
				if !impliesNotRun(cmp.Or(res.status, http.StatusBadGateway)) {
					break // The caller does not know that the call has not run.
				}
				if runs > 0 {
					rt.Fatalf("%s ran and its caller got status %d", id, res.status)
				}
			}
		}
	})
}

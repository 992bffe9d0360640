package relayer

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/golden"
)

// play plays the lines of a story on a host, and returns its probes and beliefs:
//
//	SECONDS servers NUMBER                  there are servers s1, s2 and so on
//	SECONDS calls PER-SECOND                the host gets calls
//	SECONDS call [SERVER]                   it gets one, or a dial to the server fails
//	SECONDS fresh [SERVER...]               it has no open connections to servers, or to any
//	SECONDS first-byte SECONDS              the servers take this time
//	SECONDS way WAY [SERVER...]             what becomes of connections
//	SECONDS end                             the story ends
func play(t *testing.T, path string) string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := newSimulation(1, 9)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		s.RunUntil(s.start.Add(seconds(t, fields[0])))
		s.follow(t, fields[1], fields[2:])
	}
	fmt.Fprintf(&s.out, "%d calls answered, %d failed, %d relayed; %d probes\n", s.answered, s.failed, s.relayed, len(s.probed))
	return s.out.String()
}

// follow follows one line.
func (s *simulation) follow(t *testing.T, what string, args []string) {
	t.Helper()
	switch what {
	case "servers":
		n, err := strconv.Atoi(args[0])
		if err != nil {
			t.Fatal(err)
		}
		s.servers = s.servers[:n]
	case "calls":
		s.interval = time.Duration(float64(time.Second) / seconds(t, args[0]).Seconds())
		s.callRegularly()
	case "call":
		if len(args) > 0 {
			s.reach.Begin(simService, identifier.BackendServer(args[0])).DialFailed()
			return
		}
		s.call(s.rng.Perm(len(s.servers)))
	case "fresh":
		for _, id := range s.named(args) {
			s.pooled[id] = false
		}
	case "first-byte":
		s.firstByte = seconds(t, args[0])
	case "way":
		s.log("(%s)", strings.Join(args, " "))
		s.set(way(args[0]), s.named(args[1:])...)
	case "end":
	default:
		t.Fatalf("unknown line %q", what)
	}
}

// named returns the servers with names, all if there are none.
func (s *simulation) named(names []string) []identifier.BackendServer {
	if len(names) == 0 {
		return s.servers
	}
	var ids []identifier.BackendServer
	for _, name := range names {
		ids = append(ids, identifier.BackendServer(name))
	}
	return ids
}

// seconds parses a number of seconds.
func seconds(t *testing.T, text string) time.Duration {
	t.Helper()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(x * float64(time.Second))
}

// TestStories compares what a host believes in the stories in testdata with the golden
// files beside them.
func TestStories(t *testing.T) { golden.CompareStories(t, play) }

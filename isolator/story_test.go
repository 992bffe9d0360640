package isolator

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

// story plays the evidence of a file against an Investigator, line by line:
//
//	SECONDS end SERVER PART,PART...         a server ended with suspects, in order
//	SECONDS survive PART,PART...            a call survived
//	SECONDS asked PART                      a call with an isolated part was refused
//	SECONDS version VERSION                 the service runs this version now
//	SECONDS leader                          another keeper leads
type story struct {
	i       *Investigator
	book    Book
	version identifier.Version
	runs    map[string]uint64
	out     strings.Builder
}

const (
	storyService identifier.Service = "model"
	storyHearing                    = 300 * time.Millisecond
	storyStep                       = 50 * time.Millisecond
)

// play plays the lines of a file and returns the decisions with their times.
func play(t *testing.T, path string) string {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := &story{i: NewInvestigator(), version: "v1", runs: make(map[string]uint64)}
	now := time.Unix(1000, 0)
	start := now
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		for next := start.Add(time.Duration(at * float64(time.Second))); now.Before(next); now = now.Add(storyStep) {
			s.decide(now, start)
		}
		s.record(now, fields[1], fields[2:])
	}
	for end := now.Add(time.Second); now.Before(end); now = now.Add(storyStep) {
		s.decide(now, start)
	}
	return s.out.String()
}

// record records one line.
func (s *story) record(now time.Time, what string, args []string) {
	switch what {
	case "end":
		s.runs[args[0]]++
		e := End{
			Server:  identifier.ServerRun{ID: identifier.BackendServer(args[0]), Incarnation: s.runs[args[0]]},
			Service: storyService, Version: s.version,
			Suspects: make(map[identifier.PartID]int),
		}
		for i, p := range strings.Split(args[1], ",") {
			e.Suspects[identifier.PartID(p)] = i
		}
		s.i.Record(now, "h1", Report{Ends: []End{e}})
	case "survive":
		r := Report{Survivals: []Sighting{{Key: Key{Service: storyService}}}}
		for p := range strings.SplitSeq(args[0], ",") {
			r.Survivals = append(r.Survivals, Sighting{Key: Key{storyService, identifier.PartID(p)}})
		}
		s.i.Record(now, "h1", r)
	case "asked":
		s.i.Record(now, "h1", Report{Refusals: []Sighting{{Key: Key{storyService, identifier.PartID(args[0])}}}})
	case "version":
		s.version = identifier.Version(args[0])
	case "leader":
		s.i = NewInvestigator()
	}
}

// decide applies the decisions that are due and writes them down.
func (s *story) decide(now, start time.Time) {
	running := func(identifier.Service) []identifier.Version { return []identifier.Version{s.version} }
	for _, ev := range s.i.Decide(now, &s.book, storyHearing, running) {
		s.book.Apply(ev)
		switch ev := ev.(type) {
		case Isolate:
			fmt.Fprintf(&s.out, "%.2f isolate %s after %v\n", now.Sub(start).Seconds(), ev.Part, ev.Servers)
		case Probe:
			fmt.Fprintf(&s.out, "%.2f probe %s at %s\n", now.Sub(start).Seconds(), ev.Part, ev.Host)
		case Release:
			fmt.Fprintf(&s.out, "%.2f release %s: %s\n", now.Sub(start).Seconds(), ev.Part, ev.Reason)
		}
	}
}

// TestStories compares the decisions on the evidence in testdata with the golden
// files beside it.
func TestStories(t *testing.T) { golden.CompareStories(t, play) }

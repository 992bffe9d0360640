package forwarder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestUnendedEventTakesLinearTime guards against a host that starves on bytes without the end of an
// event: all that was buffered was searched again at each read, and by each event of a read again.
func TestUnendedEventTakesLinearTime(t *testing.T) {
	const limit = 2 * time.Second // It takes some milliseconds, and took more than ten seconds.
	for _, tc := range []struct {
		name, part string
		parts      int
	}{
		{"one event in many reads", strings.Repeat("x", 32), maxEventBytes / 32},
		{"lines without an empty one, in many reads", "data: 4567890123456789012345678\n", maxEventBytes / 32},
		{"many events in a read", strings.Repeat("data\n\n", maxEventBytes/6), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s eventSplitter
			start := time.Now()
			for range tc.parts {
				complete, err := s.add([]byte(tc.part))
				if err != nil {
					t.Fatal(err)
				}
				s.consume(complete)
			}
			if took := time.Since(start); took > limit {
				t.Errorf("it took %v, at most %v wanted", took, limit)
			}
		})
	}
}

// TestEventsDoNotDependOnReads checks that a stream has the same events however it is read.
func TestEventsDoNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.StringOf(rapid.SampledFrom([]rune("ab\r\n"))).Draw(t, "stream")
		var parts []string
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		if diff := cmp.Diff(splitEvents(t, stream), splitEvents(t, parts...)); diff != "" {
			t.Errorf("events of one read and of %d differ (-one +many):\n%s", len(parts), diff)
		}
	})
}

// splitEvents returns the events of a stream that is read in parts, without blank ones and without
// the line ends around them, and the unended rest as the last one.
func splitEvents(t *rapid.T, parts ...string) []string {
	var s eventSplitter
	var events []string
	for _, part := range parts {
		complete, err := s.add([]byte(part))
		if err != nil {
			t.Fatal(err)
		}
		for rest := complete; len(rest) > 0; {
			var event []byte
			event, rest = cutEvent(rest)
			if text := strings.TrimSpace(string(event)); text != "" {
				events = append(events, text)
			}
		}
		s.consume(complete)
	}
	return append(events, strings.TrimSpace(string(s.buf)))
}

// BenchmarkUnendedEvent measures a read of a stream by how much of an event is buffered before it.
func BenchmarkUnendedEvent(b *testing.B) {
	part := bytes.Repeat([]byte("x"), readBytes)
	for _, buffered := range []int{0, 64 << 10, 256 << 10, 960 << 10} {
		b.Run(fmt.Sprintf("buffered=%dKB", buffered>>10), func(b *testing.B) {
			var s eventSplitter
			s.buf = make([]byte, 0, maxEventBytes+readBytes)
			b.SetBytes(readBytes)
			for b.Loop() {
				s.buf, s.searched = s.buf[:buffered], buffered
				if _, err := s.add(part); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

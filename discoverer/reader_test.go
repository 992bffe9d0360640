package discoverer

import (
	"bytes"
	"context"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/timer"
)

// endless is a Source whose pages never end, and counts the readings of pages.
type endless struct {
	next  func(page int) describer.Page
	pages int
}

func (e *endless) Page(context.Context, string) (describer.Page, error) {
	e.pages++
	return e.next(e.pages), nil
}

// TestEndlessListEnds guards against a list whose pages lead back to one another, or
// never end: each reading takes all calls that the platform accepts, and the memory.
func TestEndlessListEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		next func(page int) describer.Page
		most int
	}{
		{"its own token", func(int) describer.Page { return describer.Page{Next: "p"} }, 2},
		{"two tokens in turn", func(page int) describer.Page { return describer.Page{Next: strconv.Itoa(page % 2)} }, 3},
		{"always new tokens", func(page int) describer.Page { return describer.Page{Next: strconv.Itoa(page)} }, maxPages},
		{"many entries", func(page int) describer.Page {
			return describer.Page{Next: strconv.Itoa(page), Instances: make([]describer.Instance, maxInstances/4)}
		}, 5},
	} {
		source := &endless{next: tc.next}
		r := NewReader(Options{Source: source, Clock: timer.NewManual(time.Unix(1, 0)), Log: slog.New(slog.DiscardHandler)})
		if _, err := r.Read(t.Context()); err == nil || source.pages > tc.most {
			t.Errorf("%s: %d pages were read, at most %d wanted; error %v", tc.name, source.pages, tc.most, err)
		}
	}
}

// TestReaderLogsChangesOnly guards against a log line with each reading while the list
// cannot be read or has entries that name no server.
func TestReaderLogsChangesOnly(t *testing.T) {
	var log bytes.Buffer
	source := pages{}
	r := NewReader(Options{Source: source, Log: slog.New(slog.NewTextHandler(&log, nil))})
	for _, tc := range []struct {
		name string
		page *describer.Page
		want string
	}{
		{"unreadable", nil, "cannot be read"},
		{"readable", &describer.Page{}, "can be read again"},
		{"odd entries", &describer.Page{Skipped: 2}, "skipped=2"},
		{"one less", &describer.Page{Skipped: 1}, "skipped=1"},
		{"none", &describer.Page{}, "skipped=0"},
	} {
		log.Reset()
		delete(source, "")
		if tc.page != nil {
			source[""] = *tc.page
		}
		for range 3 {
			_, _ = r.Read(t.Context())
		}
		if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), tc.want) {
			t.Errorf("%s: %d lines, want one with %q:\n%s", tc.name, lines, tc.want, &log)
		}
	}
}

package dispatcher_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// TestBrokenStreamIsResumed checks that the caller receives the same bytes of
// text as from an unbroken stream, whichever fault breaks it.
func TestBrokenStreamIsResumed(t *testing.T) {
	tests := []struct {
		fault   faker.Fault
		counter string
	}{
		{faker.Fault{Kind: faker.DieMidStream, AfterTokens: 7}, `cyclamen_answers_dropped_total{reason="truncated"}`},
		{faker.Fault{Kind: faker.DieMidStream, AfterTokens: 0}, `cyclamen_answers_dropped_total{reason="truncated"}`},
		{faker.Fault{Kind: faker.DieMidStream, AfterTokens: 29}, `cyclamen_answers_dropped_total{reason="truncated"}`},
		{faker.Fault{Kind: faker.Truncate, AfterTokens: 11}, `cyclamen_answers_dropped_total{reason="truncated"}`},
		{faker.Fault{Kind: faker.Stall, AfterTokens: 5}, `cyclamen_answers_dropped_total{reason="late"}`},
		{faker.Fault{Kind: faker.Crossed}, `cyclamen_answers_dropped_total{reason="crossed"}`},
		{faker.Fault{Kind: faker.CrossedMidStream, AfterTokens: 0}, `cyclamen_answers_dropped_total{reason="crossed"}`},
		{faker.Fault{Kind: faker.CrossedMidStream, AfterTokens: 9}, `cyclamen_answers_dropped_total{reason="crossed"}`},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture(t)
				defer p.close()
				tt.fault.Count = 1
				for _, e := range p.engines {
					e.Inject(tt.fault)
				}
				a, refusal := p.do(p.stream("scene", 30))
				if refusal != nil {
					t.Fatal(refusal)
				}
				text, done := a.text(t)
				if diff := cmp.Diff(faker.Text("scene", 30), text); diff != "" || !done {
					t.Errorf("done %v, text differs (-want +got):\n%s", done, diff)
				}
				if p.engines[0].InjectedCount(tt.fault.Kind)+p.engines[1].InjectedCount(tt.fault.Kind) == 0 {
					t.Error("the fault did not occur")
				}
				if p.counter(tt.counter) == 0 {
					t.Errorf("%s is 0", tt.counter)
				}
			})
		})
	}
}

// TestMissingMarkerAfterLastToken checks that a complete text is not resumed
// when only its terminal marker is lost.
func TestMissingMarkerAfterLastToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		p.engines[0].Inject(faker.Fault{Kind: faker.Truncate, AfterTokens: 12, Count: 1})
		a, refusal := p.do(p.stream("scene", 12))
		text, done := a.text(t)
		if refusal != nil || !done || text != faker.Text("scene", 12) {
			t.Errorf("refusal %v, done %v, text %q", refusal, done, text)
		}
		if p.engines[0].InjectedCount(faker.Truncate) != 1 || p.counter("cyclamen_resumes_total") != 0 {
			t.Error("want one lost marker and no resume")
		}
	})
}

// TestTruncatedBodyIsDropped checks that a truncated body never reaches the
// caller.
func TestTruncatedBodyIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		p.plains[0].Inject(faker.Fault{Kind: faker.Truncate, Count: 1})
		a, refusal := p.do(p.request("plain", dispatcher.Call{}, http.MethodPost, "/tags", "{}"))
		if refusal != nil {
			t.Fatal(refusal)
		}
		if b := a.body.String(); !strings.HasSuffix(b, "}") || a.begins != 1 {
			t.Errorf("got %q in %d answers", b, a.begins)
		}
		if p.plains[0].InjectedCount(faker.Truncate) != 1 || p.counter(`cyclamen_answers_dropped_total{reason="truncated"}`) != 1 {
			t.Error("the body was not truncated, or the truncation was not counted")
		}
	})
}

// TestCrossedFilingIsUnknown checks that an answer to another request does not
// count as the answer to a non-idempotent request.
func TestCrossedFilingIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		p.plains[0].Inject(faker.Fault{Kind: faker.Crossed, Count: 1})
		a, refusal := p.do(p.filing("{}"))
		if refusal == nil || refusal.Kind() != refuser.Unknown || refusal.IsNotRun() || a.begins != 0 {
			t.Errorf("got %v in %d answers", refusal, a.begins)
		}
		if p.executions() != 1 {
			t.Errorf("%d executions", p.executions())
		}
	})
}

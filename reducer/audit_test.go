package reducer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

func TestAuditTrailRecordsWhoWhenWhyBeforeAndAfter(t *testing.T) {
	var m Machine
	events := []Event{
		ChangeConfiguration{ChangeID: "c-1", Operator: "els", Reason: "first", At: testStart,
			Document: json.RawMessage(`{"defaults":{"limits":{"bodyBytes":1}}}`)},
		AddException{ChangeID: "c-2", Base: 1, Operator: "janis", Reason: "the call closes", At: testStart.Add(1),
			Exception: json.RawMessage(`{"name":"night","path":"limits/bodyBytes","value":2}`)},
		RemoveException{ChangeID: "c-3", Base: 1, Operator: "els", Reason: "too late", At: testStart.Add(2), Name: "night"},
		RemoveException{ChangeID: "c-4", Base: 2, Operator: "els", Reason: "call closed", At: testStart.Add(3), Name: "night"},
		RecordAction{Action: "removeMember", Detail: "replica 7", ChangeID: "c-6", Operator: "els", Reason: "disk lost", At: testStart.Add(5)},
		RecordRefusal{Action: "addException", ChangeID: "c-5", Base: 3, Operator: "els", Problem: "no reason", At: testStart.Add(4)},
	}
	for i, ev := range events {
		apply(t, &m, i+1, ev)
	}
	exception := json.RawMessage(`{"name":"night","path":"limits/bodyBytes","value":2}`)
	v := m.View()
	wantAccepted := []AuditRecord{
		{Number: 1, Action: "changeConfiguration", ChangeID: "c-1", Operator: "els", At: testStart, Reason: "first", Revision: 1,
			Changes: []configurer.FieldChange{{Path: "defaults", After: json.RawMessage(`{"limits":{"bodyBytes":1}}`)}}},
		{Number: 2, Action: "addException", ChangeID: "c-2", Operator: "janis", At: testStart.Add(1), Reason: "the call closes", Base: 1, Revision: 2,
			Changes: []configurer.FieldChange{{Path: "exceptions", After: json.RawMessage("[" + string(exception) + "]")}}},
		{Number: 4, Action: "removeException", ChangeID: "c-4", Operator: "els", At: testStart.Add(3), Reason: "call closed", Base: 2, Revision: 3,
			Changes: []configurer.FieldChange{{Path: "exceptions/night", Before: exception}}},
	}
	wantAccepted = append(wantAccepted, AuditRecord{Number: 5, Action: "removeMember", Detail: "replica 7", ChangeID: "c-6", Operator: "els",
		At: testStart.Add(5), Reason: "disk lost", Base: 3, Revision: 3})
	if diff := cmp.Diff(wantAccepted, v.Accepted); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	wantRefused := []AuditRecord{
		{Number: 3, Action: "removeException", ChangeID: "c-3", Operator: "els", At: testStart.Add(2), Reason: "too late", Base: 1, Revision: 2,
			Problem: "the change was made against revision 1 and the present one is 2: look at revision 2 and make the change again with --base 2"},
		{Number: 6, Action: "addException", ChangeID: "c-5", Operator: "els", At: testStart.Add(4), Base: 3, Revision: 3, Problem: "no reason"},
	}
	if diff := cmp.Diff(wantRefused, v.Refused); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	restarted(t, &m)
}

func TestRecordsAreBounded(t *testing.T) {
	var many strings.Builder
	for i := range MaxRecordedChanges + 3 {
		fmt.Fprintf(&many, `"f%03d":%d,`, i, i)
	}
	var r AuditRecord
	r.setChanges(nil, json.RawMessage("{"+many.String()+`"a":"`+strings.Repeat("x", MaxRecordedValueBytes)+`"}`))
	if len(r.Changes) != MaxRecordedChanges || r.Omitted != 4 {
		t.Errorf("%d changes listed and %d omitted, want %d and 4", len(r.Changes), r.Omitted, MaxRecordedChanges)
	}
	if got := string(r.Changes[0].After); !strings.HasPrefix(got, `"1026 bytes, sha256 `) {
		t.Errorf("a long value is recorded as %s", got)
	}
}

func TestAuditTrailDropsOldestRecords(t *testing.T) {
	var byCount, byBytes trail
	for i := range uint64(20) {
		byCount.add(AuditRecord{Number: i}, 3, 1<<20)
		byBytes.add(AuditRecord{Number: i}, 100, 500)
	}
	want := []AuditRecord{{Number: 17}, {Number: 18}, {Number: 19}}
	if diff := cmp.Diff(want, byCount.view()); diff != "" {
		t.Errorf("bounded by count (-want +got):\n%s", diff)
	}
	if byBytes.bytes > 500 || len(byBytes.records) == 0 || byBytes.records[len(byBytes.records)-1].Number != 19 {
		t.Errorf("bounded by bytes: %d records of %d bytes", len(byBytes.records), byBytes.bytes)
	}
}

// TestRefusalsDoNotEvictAcceptedChanges checks that many refused changes do not
// evict accepted ones from the audit trail.
func TestRefusalsDoNotEvictAcceptedChanges(t *testing.T) {
	var s State
	Reduce(&s, changeNumber(0, 0))
	for i := range MaxRefusedRecords + 10 {
		Reduce(&s, RecordRefusal{ChangeID: identifier.ChangeID(fmt.Sprint(i)), Problem: "faulty"})
	}
	v := s.View()
	if len(v.Accepted) != 1 || len(v.Refused) != MaxRefusedRecords {
		t.Errorf("%d accepted and %d refused records, want 1 and %d", len(v.Accepted), len(v.Refused), MaxRefusedRecords)
	}
}

func TestReadSnapshotOmitsTheAuditTrail(t *testing.T) {
	var s, restored State
	Reduce(&s, changeNumber(1, 0))
	Reduce(&s, changeNumber(2, 0))
	if err := restored.Restore(s.ReadSnapshot()); err != nil {
		t.Fatal(err)
	}
	want := s.View()
	want.Accepted, want.Refused = nil, nil
	if diff := cmp.Diff(want, restored.View(), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("restored state (-want +got):\n%s", diff)
	}
}

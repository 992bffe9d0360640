package administrator

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/refuser"
)

func TestMemberChangesAreRecordedFirst(t *testing.T) {
	b := &MemoryBackend{Replicas: Members{Term: 3, Members: []Member{{Replica: 11, Host: "a1", Voter: true}}}}
	h := newTestHandler(b)
	for _, tt := range []struct {
		change  MemberChange
		kind    refuser.Kind
		records []string
	}{
		{MemberChange{ChangeID: "c-1", Action: AddMember, Replica: 12, Host: "b1", Reason: "new disk"}, "", []string{"addMember replica 12 on host b1"}},
		{MemberChange{ChangeID: "c-2", Action: PromoteMember, Replica: 12}, "", []string{"promoteMember replica 12"}},
		{MemberChange{ChangeID: "c-3", Action: RemoveMember, Replica: 11}, "", []string{"removeMember replica 11"}},
		{MemberChange{ChangeID: "c-4", Action: RemoveMember, Replica: 11}, refuser.Conflict, []string{"removeMember replica 11", "removeMember refused"}},
		{MemberChange{ChangeID: "c-5", Action: "swap", Replica: 12}, refuser.Malformed, []string{"swap refused"}},
		{MemberChange{ChangeID: "c-6", Action: AddMember, Replica: 13}, refuser.Malformed, []string{"addMember refused"}},
		{MemberChange{ChangeID: "c-7", Action: RemoveMember}, refuser.Malformed, []string{"removeMember refused"}},
	} {
		f := send(t, h, http.MethodPost, "/members", tt.change, new(Members))
		if f == nil && tt.kind != "" || f != nil && f.Kind() != tt.kind {
			t.Errorf("%s: %v, want kind %q", tt.change.ChangeID, f, tt.kind)
		}
		var audit Audit
		if f := send(t, h, http.MethodGet, "/audit", nil, &audit); f != nil {
			t.Fatal(f)
		}
		var records []string
		for _, r := range audit.Records {
			if r.ChangeID != tt.change.ChangeID {
				continue
			}
			what := r.Detail
			if r.IsRefused() {
				what = "refused"
			}
			records = append([]string{r.Action + " " + what}, records...)
		}
		if diff := cmp.Diff(tt.records, records); diff != "" {
			t.Errorf("%s: records (-want +got):\n%s", tt.change.ChangeID, diff)
		}
	}
	want := []Member{{Replica: 12, Host: "b1", Voter: true}}
	if diff := cmp.Diff(want, b.Replicas.Members); diff != "" {
		t.Error(diff)
	}
}

func TestHostWithoutMembersRefersToAnotherHost(t *testing.T) {
	h := newTestHandler(struct{ Backend }{&MemoryBackend{}})
	f := send(t, h, http.MethodGet, "/members", nil, nil)
	if f == nil || f.Kind() != refuser.NotFound || !strings.Contains(f.Error(), "ask another host") {
		t.Errorf("members: %v, want a refusal that says where to ask", f)
	}
	var o Overview
	if f := send(t, h, http.MethodGet, "/status", nil, &o); f != nil || o.Keepers != nil {
		t.Errorf("status: %v with keepers %v, want none", f, o.Keepers)
	}
}

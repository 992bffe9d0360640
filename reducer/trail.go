package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// trail is a bounded list of audit records, oldest first. Records are never
// changed once added, so that a view may share them.
type trail struct {
	records []AuditRecord
	// sizes holds the size of each record in JSON, and bytes their sum.
	sizes []int
	bytes int
}

// add appends r and drops the oldest records beyond either bound.
func (t *trail) add(r AuditRecord, maxRecords, maxBytes int) {
	b, err := json.Marshal(r)
	if err != nil {
		// Every field has a marshalable type.
		panic(fmt.Sprintf("audit record: %v", err))
	}
	t.records, t.sizes, t.bytes = append(t.records, r), append(t.sizes, len(b)), t.bytes+len(b)
	for len(t.records) > maxRecords || t.bytes > maxBytes {
		t.bytes -= t.sizes[0]
		// What was dropped is freed with the next growth of the list.
		t.records, t.sizes = t.records[1:], t.sizes[1:]
	}
}

// view returns the records for other goroutines.
func (t *trail) view() []AuditRecord { return slices.Clip(t.records) }

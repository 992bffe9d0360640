package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// trail is a bounded list of audit records, oldest first. Records never change
// after they were added, so that views can share them.
type trail struct {
	records []AuditRecord
	// sizes holds the size of the JSON form of each record in bytes, and bytes
	// is their sum.
	sizes []int
	bytes int
}

// add appends r and drops the oldest records that exceed either bound.
func (t *trail) add(r AuditRecord, maxRecords, maxBytes int) {
	b, err := json.Marshal(r)
	if err != nil {
		// All fields have types that can be marshaled.
		panic(fmt.Sprintf("audit record: %v", err))
	}
	t.records, t.sizes, t.bytes = append(t.records, r), append(t.sizes, len(b)), t.bytes+len(b)
	for len(t.records) > maxRecords || t.bytes > maxBytes {
		t.bytes -= t.sizes[0]
		// The memory of dropped records is freed when append next reallocates
		// the list.
		t.records, t.sizes = t.records[1:], t.sizes[1:]
	}
}

// view returns the records for use by other goroutines.
func (t *trail) view() []AuditRecord { return slices.Clip(t.records) }

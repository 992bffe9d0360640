package administrator

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// The default and maximum number of records in one response.
const (
	defaultRecords = 50
	maxRecords     = 1000
)

// getAudit lists all changes, accepted and refused.
func (h *handler) getAudit(w http.ResponseWriter, r *http.Request) {
	h.listRecords(w, r, func(v reducer.View) []reducer.AuditRecord { return slices.Concat(v.Accepted, v.Refused) })
}

// getHistory lists the accepted changes.
func (h *handler) getHistory(w http.ResponseWriter, r *http.Request) {
	h.listRecords(w, r, func(v reducer.View) []reducer.AuditRecord { return slices.Clone(v.Accepted) })
}

// listRecords responds with the newest of the records that choose returns, as
// the parameters limit and before select them.
func (h *handler) listRecords(w http.ResponseWriter, r *http.Request, choose func(reducer.View) []reducer.AuditRecord) {
	limit, err := numberParam(r, "limit", defaultRecords)
	if err != nil {
		refuse(w, err)
		return
	}
	before, err := numberParam(r, "before", math.MaxUint64)
	if err != nil {
		refuse(w, err)
		return
	}
	v, err := h.backend.View(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, newest(choose(v), int(min(limit, maxRecords)), before))
}

// newest returns the newest records with a number below before, at most limit.
// It overwrites the elements of records.
func newest(records []reducer.AuditRecord, limit int, before uint64) Audit {
	records = slices.DeleteFunc(records, func(r reducer.AuditRecord) bool { return r.Number >= before })
	slices.SortFunc(records, func(a, b reducer.AuditRecord) int {
		if a.Number > b.Number {
			return -1
		}
		return 1
	})
	return Audit{Records: records[:min(limit, len(records))], Older: len(records) > limit}
}

// numberParam returns the query parameter of that name, or value if it is
// absent.
func numberParam(r *http.Request, name string, value uint64) (uint64, error) {
	s := r.URL.Query().Get(name)
	if s == "" {
		return value, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, refuser.NotRun(refuser.Malformed, fmt.Sprintf("%s=%q is no number", name, s), "write a whole number")
	}
	return n, nil
}

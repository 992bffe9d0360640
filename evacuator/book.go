package evacuator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// maxEvacuations bounds the evacuations of a Book.
const maxEvacuations = 256

// Evacuation is a failure domain whose backend servers get no new calls.
type Evacuation struct {
	Domain identifier.FailureDomain `json:"failureDomain"`
	// Since is when the evacuation was asked for.
	Since time.Time `json:"since"`
}

// Event changes a Book. It is Start or End.
type Event interface{ isEvent() }

// Start evacuates a failure domain.
type Start struct {
	Domain identifier.FailureDomain `json:"failureDomain"`
	Request
}

// End ends the evacuation of a failure domain.
type End struct {
	Domain identifier.FailureDomain `json:"failureDomain"`
	Request
}

// Request says who asked for a change, when and why.
type Request struct {
	ChangeID identifier.ChangeID `json:"changeId,omitempty"`
	Operator identifier.Operator `json:"operator,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	At       time.Time           `json:"at"`
}

func (Start) isEvent() {}
func (End) isEvent()   {}

// Book is the replicated list of evacuations. Its zero value is empty. One
// goroutine owns it.
type Book struct {
	// Sequence increases with every change.
	Sequence uint64 `json:"sequence"`
	// Evacuations are in the order of their domains.
	Evacuations []Evacuation `json:"evacuations"`
}

// Apply applies an event and reports whether it changed the Book.
func (b *Book) Apply(ev Event) bool {
	switch ev := ev.(type) {
	case Start:
		return b.start(ev)
	case End:
		return b.end(ev)
	default:
		panic(fmt.Sprintf("event %T has no case in Book.Apply", ev))
	}
}

// start adds an evacuation.
func (b *Book) start(ev Start) bool {
	i, found := b.find(ev.Domain)
	if found || len(b.Evacuations) >= maxEvacuations {
		return false
	}
	b.Evacuations = slices.Insert(slices.Clone(b.Evacuations), i, Evacuation{Domain: ev.Domain, Since: ev.At})
	b.Sequence++
	return true
}

// end removes an evacuation.
func (b *Book) end(ev End) bool {
	i, found := b.find(ev.Domain)
	if !found {
		return false
	}
	b.Evacuations = slices.Delete(slices.Clone(b.Evacuations), i, i+1)
	b.Sequence++
	return true
}

// find returns the position of a domain, or where it would be, and whether it is
// there.
func (b *Book) find(d identifier.FailureDomain) (int, bool) {
	return slices.BinarySearchFunc(b.Evacuations, d, func(e Evacuation, d identifier.FailureDomain) int { return cmp.Compare(e.Domain, d) })
}

// Includes reports whether a failure domain is evacuated.
func (b *Book) Includes(d identifier.FailureDomain) bool {
	_, found := b.find(d)
	return found
}

// Domains returns the evacuated failure domains.
func (b *Book) Domains() []identifier.FailureDomain {
	out := make([]identifier.FailureDomain, len(b.Evacuations))
	for i, e := range b.Evacuations {
		out[i] = e.Domain
	}
	return out
}

// Withdrawn returns the domains that were evacuated in a former Book and are not
// in this one.
func (b *Book) Withdrawn(former *Book) []identifier.FailureDomain {
	return slices.DeleteFunc(former.Domains(), b.Includes)
}

// Check returns an error for a Book that Apply never produces.
func (b *Book) Check() error {
	isSorted := slices.IsSortedFunc(b.Evacuations, func(x, y Evacuation) int { return cmp.Compare(x.Domain, y.Domain) })
	if !isSorted || len(b.Evacuations) > maxEvacuations {
		return fmt.Errorf("the evacuations are out of order or too many: run the version that wrote them")
	}
	return nil
}

// Encode returns the Book in the form in which processes exchange it.
func (b *Book) Encode() []byte {
	out, err := json.Marshal(b)
	if err != nil {
		panic("evacuator: cannot encode book: " + err.Error()) // impossible: strings, numbers and times only
	}
	return out
}

// DecodeBook decodes and checks a Book that Encode has written.
func DecodeBook(body []byte) (*Book, error) {
	var b Book
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("evacuations are malformed: %w: run one release on all hosts", err)
	}
	return &b, b.Check()
}

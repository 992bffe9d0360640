package dispatcher

import (
	"bytes"
	"errors"
	"maps"
	"slices"
)

// Progress is what a stream has delivered, in the form that travels.
type Progress struct {
	// ID is the id of the answer that the caller sees.
	ID string
	// Head and Tail stand before and after the text of an ordinary event.
	Head, Tail []byte
	// Text is the inside of a JSON string.
	Text []byte
	// Ends holds the length of Text after each event.
	Ends []uint32
	// Special holds the events that are not Head, text and Tail, by number.
	Special map[int][]byte
	// Finish is the finish reason, in quotes, once it came.
	Finish []byte
	Usage  []byte
	// Opaque tells that the answer cannot be continued from its text.
	Opaque bool
}

// Check reports whether p is consistent.
func (p *Progress) Check() error {
	last := uint32(0)
	for _, e := range p.Ends {
		if e < last || int(e) > len(p.Text) {
			return errors.New("the progress of a stream is inconsistent: send a request whose event ends rise up to its text's length")
		}
		last = e
	}
	for n := range p.Special {
		if n < 0 || n >= len(p.Ends) {
			return errors.New("the progress of a stream names an event it does not have: send events within its count")
		}
	}
	return nil
}

// export returns p in the form that travels.
func (p *progress) export() Progress {
	return Progress{
		ID: p.id, Head: bytes.Clone(p.head), Tail: bytes.Clone(p.tail), Text: bytes.Clone(p.text),
		Ends: slices.Clone(p.ends), Special: maps.Clone(p.special), Finish: bytes.Clone(p.finish),
		Usage: bytes.Clone(p.usage), Opaque: p.opaque,
	}
}

// newProgress returns the progress that x stands for.
func newProgress(x Progress) progress {
	return progress{
		id: x.ID, head: x.Head, tail: x.Tail, text: x.Text, ends: x.Ends, special: x.Special,
		finish: x.Finish, usage: x.Usage, opaque: x.Opaque,
	}
}

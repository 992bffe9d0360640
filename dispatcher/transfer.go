package dispatcher

import (
	"bytes"
	"errors"
	"maps"
	"slices"
)

// Progress is the part of a stream that was delivered, as it is transferred
// between hosts.
type Progress struct {
	// ID is the answer id that the caller sees.
	ID string
	// Head and Tail are the bytes before and after the text in an ordinary
	// event.
	Head, Tail []byte
	// Text is the content of a JSON string.
	Text []byte
	// Ends holds the length of Text after each event.
	Ends []uint32
	// Special holds the payloads of the events that do not consist of Head,
	// text and Tail, by event number.
	Special map[int][]byte
	// Finish is the finish reason, in quotes, or nil until it arrives.
	Finish []byte
	Usage  []byte
	// Opaque is true if the answer cannot be continued from its text.
	Opaque bool
}

// Check returns an error if p is inconsistent.
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

// export returns p in the form that is transferred between hosts.
func (p *progress) export() Progress {
	return Progress{
		ID: p.id, Head: bytes.Clone(p.head), Tail: bytes.Clone(p.tail), Text: bytes.Clone(p.text),
		Ends: slices.Clone(p.ends), Special: maps.Clone(p.special), Finish: bytes.Clone(p.finish),
		Usage: bytes.Clone(p.usage), Opaque: p.opaque,
	}
}

// newProgress returns the progress that x represents.
func newProgress(x Progress) progress {
	return progress{
		id: x.ID, head: x.Head, tail: x.Tail, text: x.Text, ends: x.Ends, special: x.Special,
		finish: x.Finish, usage: x.Usage, opaque: x.Opaque,
	}
}

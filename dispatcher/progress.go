package dispatcher

import (
	"bytes"
	"encoding/json"
	"slices"
)

// maxTextBytes limits the text of one answer that is kept for resuming.
const maxTextBytes = 8 << 20

// progress is the part of a stream that was delivered. The text is kept as the
// content of a JSON string, exactly as received, so that it is neither decoded
// nor encoded.
type progress struct {
	// id is the answer id that the caller sees.
	id string
	// head and tail are the bytes before and after the text in an ordinary
	// event.
	head, tail []byte
	text       []byte
	// ends holds the length of text after each event.
	ends []uint32
	// special holds the payloads of the events that do not consist of head,
	// text and tail, by event number.
	special map[int][]byte
	// finish is the finish reason, in quotes, or nil until it arrives.
	finish []byte
	usage  []byte
	// opaque is true if the answer cannot be continued from its text, for
	// example because it holds more than one text.
	opaque bool
}

// count returns the number of events.
func (p *progress) count() int { return len(p.ends) }

// contains reports whether p begins with the events of o, with the same text.
func (p *progress) contains(o *Progress) bool {
	n := len(o.Ends)
	if n > len(p.ends) || !slices.Equal(p.ends[:n], o.Ends) {
		return false
	}
	return n == 0 || bytes.Equal(p.text[:p.ends[n-1]], o.Text[:o.Ends[n-1]])
}

// add appends an ordinary event.
func (p *progress) add(fragment []byte) {
	if len(p.text)+len(fragment) > maxTextBytes {
		p.opaque = true
		fragment = nil
	}
	p.text = append(p.text, fragment...)
	p.ends = append(p.ends, uint32(len(p.text)))
}

// addSpecial appends an event of any other form; fragment is its text.
func (p *progress) addSpecial(fragment, payload []byte) {
	if p.special == nil {
		p.special = make(map[int][]byte)
	}
	p.special[len(p.ends)] = bytes.Clone(payload)
	p.add(fragment)
}

// appendPayload appends the payload of event n, counted from 0.
func (p *progress) appendPayload(b []byte, n int) []byte {
	if s, ok := p.special[n]; ok {
		return append(b, s...)
	}
	from := uint32(0)
	if n > 0 {
		from = p.ends[n-1]
	}
	return p.appendOrdinary(b, p.text[from:p.ends[n]])
}

// appendOrdinary appends the payload of an ordinary event.
func (p *progress) appendOrdinary(b, fragment []byte) []byte {
	b = append(b, p.head...)
	b = append(b, fragment...)
	return append(b, p.tail...)
}

// restore appends an event that another host received.
func (p *progress) restore(payload []byte) {
	var c chunk
	// The other host has already rejected payloads that are not a chunk.
	_ = json.Unmarshal(payload, &c)
	if p.id == "" {
		p.id = c.ID
	}
	if f := c.finish(); f != nil {
		p.finish = bytes.Clone(f)
	}
	if !isNull(c.Usage) {
		p.usage = bytes.Clone(c.Usage)
	}
	text, plain := c.text()
	p.opaque = p.opaque || !plain
	head, fragment, tail, ok := splitText(payload)
	if ok && p.finish == nil && len(p.head) == 0 {
		p.head, p.tail = bytes.Clone(head), bytes.Clone(tail)
	}
	switch {
	case ok && bytes.Equal(head, p.head) && bytes.Equal(tail, p.tail):
		p.add(fragment)
	case ok:
		p.addSpecial(fragment, payload)
	default:
		p.addSpecial(quotedText(text), payload)
	}
}

// quotedText returns text encoded as the content of a JSON string.
func quotedText(text string) []byte {
	// Encoding a string as JSON cannot fail.
	quoted, _ := json.Marshal(text)
	return quoted[1 : len(quoted)-1]
}

// textPrefixes precede the text of an ordinary event. They contain unescaped
// quotes, so that they cannot occur within a text.
var textPrefixes = [...][]byte{
	[]byte(`"delta":{"content":"`),
	[]byte(`"index":0,"text":"`),
}

// splitText splits an ordinary event into head, text and tail.
func splitText(data []byte) (head, fragment, tail []byte, ok bool) {
	for _, prefix := range textPrefixes {
		i := bytes.Index(data, prefix)
		if i < 0 {
			continue
		}
		n := i + len(prefix)
		end := stringEnd(data[n:])
		if end < 0 {
			return nil, nil, nil, false
		}
		return data[:n], data[n : n+end], data[n+end:], true
	}
	return nil, nil, nil, false
}

// stringEnd returns the index of the quote that ends a JSON string, or -1.
func stringEnd(b []byte) int {
	from := 0
	for {
		i := bytes.IndexByte(b[from:], '"')
		if i < 0 {
			return -1
		}
		i += from
		if !escaped(b, i) {
			return i
		}
		from = i + 1
	}
}

// escaped reports whether an odd number of backslashes precedes b[i].
func escaped(b []byte, i int) bool {
	n := 0
	for i-n > 0 && b[i-n-1] == '\\' {
		n++
	}
	return n%2 == 1
}

// chunk is the payload of one event of a generation.
type chunk struct {
	ID      string          `json:"id"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	Text         string          `json:"text"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chunkDelta struct {
	Content      string          `json:"content"`
	ToolCalls    json.RawMessage `json:"tool_calls"`
	FunctionCall json.RawMessage `json:"function_call"`
}

// text returns the text of the event. It returns false if the event holds
// anything else, from which an answer cannot be continued.
func (c *chunk) text() (string, bool) {
	if len(c.Choices) > 1 {
		return "", false
	}
	if len(c.Choices) == 0 {
		return "", true
	}
	x := &c.Choices[0]
	ok := x.Index == 0 && isNull(x.Delta.ToolCalls) && isNull(x.Delta.FunctionCall)
	return x.Delta.Content + x.Text, ok
}

// finish returns the finish reason, in quotes, or nil.
func (c *chunk) finish() []byte {
	if len(c.Choices) == 0 || isNull(c.Choices[0].FinishReason) {
		return nil
	}
	return c.Choices[0].FinishReason
}

func isNull(m json.RawMessage) bool { return len(m) == 0 || string(m) == "null" }

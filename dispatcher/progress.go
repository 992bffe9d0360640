package dispatcher

import (
	"bytes"
	"encoding/json"
	"slices"
)

// maxTextBytes bounds the text of one answer that is kept for resuming.
const maxTextBytes = 8 << 20

// progress is what a stream has delivered. The text is kept as the inside of a
// JSON string, just as it came, so that it is neither decoded nor encoded on its
// way.
type progress struct {
	// id is the id of the answer that the caller sees.
	id string
	// head and tail stand before and after the text in an ordinary event.
	head, tail []byte
	text       []byte
	// ends holds the length of text after each event.
	ends []uint32
	// special holds the events that are not head, text and tail.
	special map[int][]byte
	// finish is the finish reason, in quotes, once it came.
	finish []byte
	usage  []byte
	// opaque tells that the answer holds more than one text, so that it cannot
	// be continued from its text.
	opaque bool
}

// count returns the number of events.
func (p *progress) count() int { return len(p.ends) }

// holds reports whether every event of o is in p as well, text for text.
func (p *progress) holds(o *Progress) bool {
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

// addSpecial appends any other event, of which fragment is the text.
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

// restore appends an event that was taken in on another host.
func (p *progress) restore(payload []byte) {
	var c chunk
	// A payload that is no chunk was refused where it came from.
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
	head, fragment, tail, ok := cutText(payload)
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

// quotedText returns the inside of the JSON string of text.
func quotedText(text string) []byte {
	// A string always has a JSON form.
	quoted, _ := json.Marshal(text)
	return quoted[1 : len(quoted)-1]
}

// textMarks stand before the text of an ordinary event. They hold unescaped
// quotes, so that they cannot occur within a text.
var textMarks = [...][]byte{
	[]byte(`"delta":{"content":"`),
	[]byte(`"index":0,"text":"`),
}

// cutText splits an ordinary event into head, text and tail.
func cutText(data []byte) (head, fragment, tail []byte, ok bool) {
	for _, mark := range textMarks {
		i := bytes.Index(data, mark)
		if i < 0 {
			continue
		}
		n := i + len(mark)
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

// escaped reports whether an odd number of backslashes stands before b[i].
func escaped(b []byte, i int) bool {
	n := 0
	for i-n > 0 && b[i-n-1] == '\\' {
		n++
	}
	return n%2 == 1
}

// chunk is what an event of a generation holds.
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

// text returns the text of the event, or false where it holds something else
// that an answer could not be continued from.
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

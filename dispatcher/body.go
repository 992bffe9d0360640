package dispatcher

import (
	"bytes"
	"cmp"
	"strconv"
)

// appendFields appends fields, for example `"stream":true`, to a JSON object.
func appendFields(object []byte, fields ...[]byte) []byte {
	end := bytes.LastIndexByte(object, '}')
	if end < 0 {
		return object
	}
	n := len(object) + len(fields)
	for _, f := range fields {
		n += len(f)
	}
	b := append(make([]byte, 0, n), object[:end]...)
	if !bytes.HasSuffix(bytes.TrimSpace(object[:end]), []byte("{")) {
		b = append(b, ',')
	}
	b = append(b, bytes.Join(fields, []byte(","))...)
	return append(b, object[end:]...)
}

// resumeField returns the field that instructs a model engine to continue from
// text. The text is the content of a JSON string, without its quotes.
func resumeField(text []byte) []byte {
	b := append([]byte(`"resume":{"text":"`), text...)
	return append(b, `"}`...)
}

// textAnswerBody builds the body of the answer to a Text generation from its
// events.
func textAnswerBody(p *progress, chat bool, model string, created int64) []byte {
	object, before, after := "text_completion", `"text":"`, `"`
	if chat {
		object, before, after = "chat.completion", `"message":{"role":"assistant","content":"`, `"}`
	}
	b := make([]byte, 0, len(p.text)+512)
	b = append(b, `{"id":`...)
	b = strconv.AppendQuote(b, p.id)
	b = append(b, `,"object":"`+object+`","created":`...)
	b = strconv.AppendInt(b, created, 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, model)
	b = append(b, `,"choices":[{"index":0,`+before...)
	b = append(b, p.text...)
	b = append(b, after+`,"logprobs":null,"finish_reason":`...)
	b = append(b, cmp.Or(string(p.finish), "null")...)
	b = append(b, `}]`...)
	if p.usage != nil {
		b = append(b, `,"usage":`...)
		b = append(b, p.usage...)
	}
	return append(b, '}')
}

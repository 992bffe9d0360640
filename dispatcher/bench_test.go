package dispatcher

import (
	"encoding/json"
	"testing"
)

var benchEvent = []byte(`{"id":"cmpl-r1.1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"catalogue "},"finish_reason":null}]}`)

// BenchmarkEvent measures the cost of processing one event of a stream.
func BenchmarkEvent(b *testing.B) {
	b.Run("not decoded", func(b *testing.B) {
		b.ReportAllocs()
		s := &scanner{p: new(progress)}
		for range b.N {
			if len(s.p.text) > maxTextBytes/2 {
				s.p = &progress{id: s.p.id, head: s.p.head, tail: s.p.tail}
			}
			if _, err := s.accept(benchEvent); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decoded", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var c chunk
			if err := json.Unmarshal(benchEvent, &c); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkResume measures building the body of a resume request after 1000
// tokens.
func BenchmarkResume(b *testing.B) {
	b.ReportAllocs()
	p := new(progress)
	for range 1000 {
		p.add([]byte("catalogue "))
	}
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"write"}],"stream":true}`)
	for range b.N {
		_ = appendFields(body, resumeField(p.text))
	}
}

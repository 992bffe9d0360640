package router

import (
	"fmt"
	"runtime"
	"testing"
)

// benchTable returns a table of one service whose servers are spread over the
// failure domains d0, d1 and so on.
func benchTable(servers, domains int) *Table {
	t := &Table{}
	for i := range servers {
		c := candidate(fmt.Sprintf("worker-%d", i), fmt.Sprintf("d%d", i%domains), 1)
		c.Concurrency = 16
		t.Candidates = append(t.Candidates, c)
	}
	return t
}

// benchPrompt returns a request with a prefix of 40 blocks, the length of a
// style guide of 4500 tokens.
func benchPrompt(i int) Request {
	prompt := make([]byte, 40*BlockBytes)
	copy(prompt[4*BlockBytes:], fmt.Sprint("guide ", i%50))
	copy(prompt[39*BlockBytes:], fmt.Sprint("own ", i))
	return Request{Service: "s", Version: "1", PrefixBlocks: Blocks(nil, prompt), PromptTokens: 5000}
}

func BenchmarkChoose(b *testing.B) {
	var prompts []Request
	for i := range 256 {
		prompts = append(prompts, benchPrompt(i))
	}
	for _, size := range []struct{ servers, domains int }{{10, 4}, {100, 1}, {167, 1}, {1000, 1}, {4000, 24}, {4000, 1}} {
		for _, prefix := range []bool{true, false} {
			b.Run(fmt.Sprintf("servers=%d/domains=%d/prefix=%v", size.servers, size.domains, prefix), func(b *testing.B) {
				r := New(Config{Random: NewSeeded(1), FailureDomain: "d0"})
				r.Publish(benchTable(size.servers, size.domains))
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for i := 0; pb.Next(); i++ {
						req := prompts[i%len(prompts)]
						if !prefix {
							req.PrefixBlocks = nil
						}
						c, err := r.Choose(req)
						if err != nil {
							b.Error(err)
							return
						}
						c.Release(Succeeded)
					}
				})
			})
		}
	}
}

func BenchmarkObserveLoad(b *testing.B) {
	r := New(Config{Random: NewSeeded(1), FailureDomain: "d0"})
	t := benchTable(167, 1)
	r.Publish(t)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Observe(LoadReport{BackendServer: t.Candidates[i%167].BackendServer, Running: 3})
	}
}

// BenchmarkPublish also reports the memory that a router holds per server.
func BenchmarkPublish(b *testing.B) {
	for _, servers := range []int{10, 1000, 4000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			t := benchTable(servers, 24)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := New(Config{Random: NewSeeded(1), FailureDomain: "d0"})
			for b.Loop() {
				r.Publish(t)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(servers), "B/server")
			runtime.KeepAlive(r)
		})
	}
}

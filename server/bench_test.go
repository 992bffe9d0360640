package server_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
)

// benchmarkCalls runs calls in parallel, directly against a fake backend server
// or through the server, and reports median, 99th percentile and throughput.
func benchmarkCalls(b *testing.B, target, body string, direct bool) {
	p := newTestProxy(b, func(f *configurer.Fleet) {
		for i := range f.Defaults.BackendServers {
			f.Defaults.BackendServers[i].Concurrency = 4096
		}
		f.Defaults.Limits.QueuedRequests = 10_000
	})
	base := p.url
	if direct {
		base = p.engineURL
		if strings.HasPrefix(target, "/services/") {
			base, target = p.plainURL, strings.TrimPrefix(target, "/services/dossier")
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var times []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var local []time.Duration
		for pb.Next() {
			start := time.Now()
			if err := callOnce(client, base+target, body); err != nil {
				b.Error(err)
				return
			}
			local = append(local, time.Since(start))
		}
		mu.Lock()
		times = append(times, local...)
		mu.Unlock()
	})
	b.StopTimer()
	slices.Sort(times)
	if len(times) > 0 {
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
		b.ReportMetric(float64(len(times))/b.Elapsed().Seconds(), "req/s")
	}
}

func callOnce(c *http.Client, url, body string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

func BenchmarkPlainCall(b *testing.B) {
	for _, direct := range []bool{true, false} {
		b.Run(fmt.Sprintf("direct=%v", direct), func(b *testing.B) { benchmarkCalls(b, "/services/dossier/tags", "{}", direct) })
	}
}

func BenchmarkShortGeneration(b *testing.B) {
	for _, direct := range []bool{true, false} {
		b.Run(fmt.Sprintf("direct=%v", direct), func(b *testing.B) {
			benchmarkCalls(b, "/v1/chat/completions", chatBody("tag this render", 1, false), direct)
		})
	}
}

// BenchmarkStream reports tokens per second for streams of 1000 tokens.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	for _, direct := range []bool{true, false} {
		b.Run(fmt.Sprintf("direct=%v", direct), func(b *testing.B) {
			benchmarkCalls(b, "/v1/chat/completions", chatBody("write a long scene brief", tokens, true), direct)
			b.ReportMetric(tokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

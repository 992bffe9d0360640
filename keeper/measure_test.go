package keeper

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// measureEnv enables the measurements. They print figures and never fail
// because of one.
const measureEnv = "CYCLAMEN_MEASURE"

// TestMeasureCommits prints the latency of sequential proposals and the
// throughput of many concurrent clients, with syncs on.
func TestMeasureCommits(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
	const sequential, clients, period = 500, 256, 3 * time.Second
	entry := make([]byte, 256)
	for _, n := range []int{1, 3, 5} {
		for _, single := range []bool{false, true} {
			t.Run(fmt.Sprintf("replicas=%d/groupCommit=%v", n, !single), func(t *testing.T) {
				c := startLoopbackCluster(t, n, func(o *Options) { o.disableGroupCommit = single })
				_, k := c.leader()
				h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
				for range sequential {
					started := time.Now()
					if _, err := k.Propose(t.Context(), entry); err != nil {
						t.Fatal(err)
					}
					_ = h.RecordValue(time.Since(started).Microseconds())
				}
				ctx, cancel := context.WithTimeout(t.Context(), period)
				defer cancel()
				var done, refused atomic.Int64
				var wg sync.WaitGroup
				for range clients {
					wg.Go(func() {
						for ctx.Err() == nil {
							if _, err := k.Propose(t.Context(), entry); err == nil {
								done.Add(1)
							} else {
								refused.Add(1)
							}
						}
					})
				}
				wg.Wait()
				t.Logf("sequential p50 %d µs, p99 %d µs; %d clients %.0f/s, refused %d",
					h.ValueAtQuantile(50), h.ValueAtQuantile(99), clients, float64(done.Load())/period.Seconds(), refused.Load())
			})
		}
	}
}

// TestMeasureRecovery prints the time from Open to the first completed read for
// logs of different lengths.
func TestMeasureRecovery(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
	for _, n := range []int{2000, 20000, 100000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, 1, func(o *Options) { o.StateMachine = &counter{} }).startAll()
			h, k := c.leader()
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(func() {
					for range n / 100 {
						c.propose(k, fmt.Sprintf("%256d", n))
					}
				})
			}
			wg.Wait()
			_ = k.Close()
			started := time.Now()
			k = c.start(h)
			opened := time.Since(started)
			s := k.Status()
			if err := k.Read(t.Context()); err != nil {
				t.Fatal(err)
			}
			t.Logf("opened in %v with %d entries after the snapshot, first read after %v",
				opened, s.Last.Index-s.Snapshot.Index, time.Since(started))
			c.close()
		})
	}
}

// counter is a state machine of constant size.
type counter struct{ n byte }

func (c *counter) Apply(entries ...[]byte) [][]byte {
	c.n += byte(len(entries))
	return make([][]byte, len(entries))
}
func (c *counter) Snapshot() []byte       { return []byte{c.n} }
func (c *counter) Restore(b []byte) error { c.n = b[0]; return nil }

// TestMeasureIdle prints the cost of an idle group.
func TestMeasureIdle(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
	const period = 10 * time.Second
	for _, n := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := startLoopbackCluster(t, n, nil)
			c.leader()
			time.Sleep(time.Second)
			written := metrics.GetOrCreateCounter("cyclamen_messenger_bytes_written_total")
			cpu, bytes := cpuTime(t), written.Get()
			time.Sleep(period)
			cpu, bytes = cpuTime(t)-cpu, written.Get()-bytes
			var mem runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&mem)
			t.Logf("all %d replicas in one process: %.2f%% of a core and %.0f bytes/s written for each; heap of the process %d KB",
				n, 100*cpu.Seconds()/period.Seconds()/float64(n), float64(bytes)/period.Seconds()/float64(n), mem.HeapAlloc>>10)
		})
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

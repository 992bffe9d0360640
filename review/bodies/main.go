// Command bodies plays a burst of clients whose requests have bodies of the largest size
// that the config allows, and looks for processes that end because they use more memory
// than their machines have.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cyclamenhub.org/review/bed"
)

const (
	// bodyBytes is maxBodyBytes of the config.
	bodyBytes = 4 << 20
	// linkBytesPerSecond is linkMbps of a machine.
	linkBytesPerSecond = 1000e6 / 8
	// usual is the number of clients at a machine, and burst is x of the disturbance.
	usual    = 18
	burst    = 2.6
	bursts   = 5
	deadline = 10 * time.Second
	// events and gap are those of an answer, which takes 7.8 s.
	events = 26
	gap    = 300 * time.Millisecond
	// calm is the time before the first burst, pause that after each, and burstFor the
	// length of one.
	calm     = 12 * time.Second
	pause    = 9 * time.Second
	burstFor = 5700 * time.Millisecond
	// restartAfter is how long after its end a process is started again.
	restartAfter = time.Second
	memoryPoll   = 10 * time.Millisecond
	// allowedEnds is how many processes of the two machines may end.
	allowedEnds = 2
)

func main() { bed.Main(run) }

// run plays the case and returns the exit code.
func run(o bed.Options, trouble bool) (int, error) {
	b, err := bed.New(o)
	if err != nil {
		return bed.ExitFailed, err
	}
	defer b.Close()
	var entries []bed.Entry
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		address, err := b.Serve(100+i, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { stream(b, id, w, r) }))
		if err != nil {
			return bed.ExitFailed, err
		}
		entries = append(entries, bed.Entry{ID: id, Service: bed.Service, Address: address, Zone: "be-central-a", Version: "v1", Slots: 64, State: "ready"})
	}
	b.Cloud.List(entries...)
	if err := b.Start(3, 2); err != nil {
		return bed.ExitFailed, err
	}
	route := bed.Route{Name: "r-draft", PathPrefix: "/draft/", RouteType: "streaming", TimeoutMs: 10000, TargetLatencyMs: 800, MaxAttempts: 1, InterTokenMs: 400}
	if err := b.StoreConfig(bed.Config{Version: 1, Routes: []bed.Route{route}}); err != nil {
		return bed.ExitFailed, err
	}
	if err := b.AwaitReady(); err != nil {
		return bed.ExitFailed, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watches := make([]*watch, len(b.Entries))
	var wg sync.WaitGroup
	for i, m := range b.Entries {
		watches[i] = &watch{bed: b, machine: m}
		wg.Go(func() { watches[i].run(ctx) })
	}
	load(ctx, b, trouble)
	stop()
	wg.Wait()
	return judge(b, watches), nil
}

// load sends the usual requests and, with trouble, those of the bursts.
func load(ctx context.Context, b *bed.Bed, trouble bool) {
	links := make([]*link, len(b.Entries))
	for i := range links {
		links[i] = &link{}
	}
	var wg sync.WaitGroup
	start := func(ctx context.Context, name string, clients int, over time.Duration) {
		for i, m := range b.Entries {
			for n := range clients {
				wg.Go(func() {
					time.Sleep(over * time.Duration(n) / time.Duration(clients))
					send(ctx, b, m, links[i], fmt.Sprintf("%s-%d-%d", name, i, n))
				})
			}
		}
	}
	usualCtx, stopUsual := context.WithCancel(ctx)
	start(usualCtx, "usual", usual, calm-2*time.Second)
	time.Sleep(calm)
	for n := range bursts {
		burstCtx, cancel := context.WithTimeout(ctx, burstFor)
		if trouble {
			b.Record.Say("burst %d: %.1f times the clients for %v", n+1, burst, burstFor)
			more := float64(usual) * (burst - 1)
			start(burstCtx, fmt.Sprintf("burst%d", n+1), int(more), 0)
		}
		<-burstCtx.Done()
		cancel()
		time.Sleep(pause)
	}
	stopUsual()
	wg.Wait()
}

// send sends requests to a machine, one after the other, until ctx ends.
func send(ctx context.Context, b *bed.Bed, m *bed.Machine, l *link, name string) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		sent := b.Record.Now()
		status, err := sendOne(ctx, c, m, l, id)
		b.Record.Add("client: %s at %s, sent at %.3f s: status %d, %v", id, m.Name, sent.Seconds(), status, err)
		if status != http.StatusOK {
			time.Sleep(time.Second)
		}
	}
}

// sendOne sends a request and returns the status of its complete answer, or 0.
func sendOne(ctx context.Context, c *http.Client, m *bed.Machine, l *link, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Frontend()+"/draft/a", &upload{link: l, left: bodyBytes})
	if err != nil {
		return 0, err
	}
	req.ContentLength, req.Host, req.Header = bodyBytes, bed.Host, bed.RequestHeader(id, deadline)
	res, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}

// stream answers a request with a stream of events once its body has been read.
func stream(b *bed.Bed, worker string, w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	b.Record.Add("%s: runs %s with a body of %d bytes, %v", worker, r.Header.Get(bed.HeaderID), n, err)
	h := w.Header()
	h.Set(bed.HeaderID, r.Header.Get(bed.HeaderID))
	h.Set(bed.HeaderSeal, "seal-"+r.Header.Get(bed.HeaderID))
	h.Set("Content-Type", "text/event-stream")
	for n := range events {
		fmt.Fprintf(w, "id: %d\ndata: word\n\n", n+1)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(gap)
	}
}

// link is the link of a machine, whose bandwidth all uploads to it share.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// take waits until n bytes have passed the link.
func (l *link) take(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / linkBytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// upload is a body that passes a link.
type upload struct {
	link *link
	left int
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), u.left)
	clear(p[:n])
	u.link.take(n)
	u.left -= n
	return n, nil
}

// watch does what the platform does with a process: it kills one that uses more memory
// than its machine has, and starts a process that has ended again.
type watch struct {
	bed     *bed.Bed
	machine *bed.Machine

	peakMB, kills, ends int
}

// run watches the process until ctx ends.
func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(memoryPoll)
		if w.machine.Ended() {
			w.ends++
			time.Sleep(restartAfter)
			if err := w.machine.Start(); err != nil {
				w.bed.Record.Say("%s does not start: %v", w.machine.Name, err)
				return
			}
			continue
		}
		mb := w.machine.ResidentMB()
		w.peakMB = max(w.peakMB, mb)
		if mb > w.machine.MemoryMB() {
			w.kills++
			w.bed.Record.Say("%s uses %d MB of %d MB and is killed by the platform", w.machine.Name, mb, w.machine.MemoryMB())
			w.machine.Signal(syscall.SIGKILL)
			time.Sleep(memoryPoll)
		}
	}
}

// judge checks the rule and returns the exit code.
func judge(b *bed.Bed, watches []*watch) int {
	broken := true
	for _, w := range watches {
		b.Record.Say("%s: %d ends of its process, %d of them for memory, at most %d MB resident of %d MB", w.machine.Name, w.ends, w.kills, w.peakMB, w.machine.MemoryMB())
		broken = broken && w.ends > allowedEnds
	}
	if broken {
		b.Record.Say("Fault: on both entry machines, of 5 in use, processes ended by themselves three times or more")
		return bed.ExitBroken
	}
	return bed.ExitHeld
}

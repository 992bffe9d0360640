package admitter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// customers lists the customers of the property tests.
var customers = []identifier.Customer{"large", "small", "smaller"}

// decisionCount counts the decisions on one request.
type decisionCount struct{ granted, refused int }

// TestPropertyQueueIsBoundedAndRefusalsSayNotRun drives an Admitter with random
// requests, completions and expirations. It checks that the queue and the
// in-flight requests stay within their bounds, that each request is decided
// once, and that every refusal has IsNotRun true and a Retry-After.
func TestPropertyQueueIsBoundedAndRefusalsSayNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency, queued := rapid.IntRange(1, 4).Draw(t, "concurrency"), rapid.IntRange(1, 6).Draw(t, "queued")
		var limits []CustomerLimits
		for _, c := range customers {
			limits = append(limits, CustomerLimits{Customer: c, RequestsPerSecond: float64(rapid.IntRange(0, 20).Draw(t, "rate"))})
		}
		a, clock := newAdmitter(concurrency, queued, limits...)
		var running []*Grant
		var counts []*decisionCount
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				count := &decisionCount{}
				counts = append(counts, count)
				r := Request{
					Customer: rapid.SampledFrom(customers).Draw(t, "customer"), Service: "s",
					Priority:  Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
					MaxTokens: identifier.Tokens(rapid.IntRange(1, 100).Draw(t, "tokens")),
				}
				if rapid.Bool().Draw(t, "hurried") {
					r.Deadline = clock.Now().Add(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second}).Draw(t, "deadline"))
				}
				a.Offer(r, func(g *Grant, refusal *refuser.Refusal) {
					if refusal != nil {
						count.refused++
						if !refusal.IsNotRun() || refusal.RetryAfter() <= 0 {
							t.Fatalf("refusal %v: IsNotRun %v, retry after %v; want true and above 0", refusal, refusal.IsNotRun(), refusal.RetryAfter())
						}
						return
					}
					count.granted++
					running = append(running, g)
				})
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "grant")
				g := running[i]
				running = append(running[:i], running[i+1:]...)
				g.Done(Outcome{Result: Result(rapid.IntRange(0, 2).Draw(t, "result")), FirstToken: time.Second})
			},
			"time":   func(*rapid.T) { clock.Advance(700 * time.Millisecond) },
			"expire": func(*rapid.T) { a.Expire() },
			"": func(t *rapid.T) {
				s := a.Status("s")
				if s.Queued > queued || s.InFlight > concurrency || s.InFlight != len(running) {
					t.Fatalf("%d queued of at most %d, %d in flight of at most %d with %d grants", s.Queued, queued, s.InFlight, concurrency, len(running))
				}
				undecided := 0
				for i, count := range counts {
					if count.granted+count.refused > 1 {
						t.Fatalf("request %d was granted %d times and refused %d times", i, count.granted, count.refused)
					}
					undecided += 1 - count.granted - count.refused
				}
				if undecided != s.Queued {
					t.Fatalf("%d requests are undecided and %d are queued", undecided, s.Queued)
				}
			},
		})
	})
}

// TestPropertyNoCustomerStarves fills the queue with interactive requests of a
// large customer. A request of a small customer must start after a bounded
// number of grants.
func TestPropertyNoCustomerStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limits []CustomerLimits
		for _, c := range customers {
			limits = append(limits, CustomerLimits{Customer: c, Weight: 1})
		}
		a, _ := newAdmitter(1, 100, limits...)
		priority := Priority(rapid.IntRange(0, 1).Draw(t, "priority"))
		cost := identifier.Tokens(rapid.IntRange(1, 50).Draw(t, "cost"))
		// Each other customer may start one request first, and batch requests
		// get a tenth of the tokens.
		maxGrants := len(customers) + 1
		if priority == Batch {
			maxGrants += int(float64(cost)/(10*float64(defaultBatchShare))) + 2
		}
		var running *Grant
		large := func() {
			a.Offer(Request{Customer: "large", Service: "s", MaxTokens: 10}, func(g *Grant, _ *refuser.Refusal) {
				if g != nil {
					running = g
				}
			})
		}
		for range rapid.IntRange(1, 80).Draw(t, "backlog") {
			large()
		}
		for range rapid.IntRange(0, 30).Draw(t, "grants before") {
			running.Done(Outcome{})
			large()
		}
		started := false
		a.Offer(Request{Customer: "small", Service: "s", Priority: priority, MaxTokens: cost}, func(g *Grant, f *refuser.Refusal) {
			if f != nil {
				t.Fatalf("the small customer was refused: %v", f)
			}
			started, running = true, g
		})
		for n := 0; !started; n++ {
			if n > maxGrants {
				t.Fatalf("a request of %d tokens had not started after %d grants, want at most %d", cost, n, maxGrants)
			}
			running.Done(Outcome{})
			large()
		}
	})
}

// TestPropertySharesNeverExceedOne drives a Divider and its hosts through lost,
// delayed and repeated messages, restarts and changes of the leader. At every
// step the shares in effect must add to at most 1, and none may be below the
// floor.
func TestPropertySharesNeverExceedOne(t *testing.T) {
	const epsilon = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		var hosts []identifier.Host
		for i := range rapid.IntRange(1, 4).Draw(t, "hosts") {
			hosts = append(hosts, identifier.Host(fmt.Sprint("h", i)))
		}
		term := identifier.Term(1)
		d := NewDivider(hosts, 0, term)
		admitters := make(map[identifier.Host]*Admitter)
		var incarnation uint64
		start := func(h identifier.Host) {
			incarnation++
			admitters[h] = New(Config{
				Incarnation: incarnation, StartShare: d.StartShare(), Services: []ServiceLimits{{Service: "s"}}, Customers: []CustomerLimits{{Customer: "choir", RequestsPerSecond: 1}},
			})
		}
		type message struct {
			host   identifier.Host
			shares Shares
		}
		var sent []message
		for _, h := range hosts {
			start(h)
		}
		host := func(t *rapid.T) identifier.Host { return rapid.SampledFrom(hosts).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				h := host(t)
				for range rapid.IntRange(0, 20).Draw(t, "requests") {
					admitters[h].Offer(Request{Customer: "choir", Service: "s"}, func(*Grant, *refuser.Refusal) {})
				}
				d.Report(h, admitters[h].TakeDemand())
			},
			"divide": func(t *rapid.T) {
				lost := rapid.SampledFrom(append(hosts, "none")).Draw(t, "lost")
				for _, h := range hosts {
					if h != lost {
						d.Report(h, admitters[h].TakeDemand())
					}
				}
				shares := d.Divide([]identifier.Customer{"choir"})
				for _, h := range hosts {
					sent = append(sent, message{h, shares[h]})
					if h != lost {
						admitters[h].SetShares(shares[h])
					}
				}
			},
			"deliver late": func(t *rapid.T) {
				if len(sent) > 0 {
					m := rapid.SampledFrom(sent).Draw(t, "message")
					admitters[m.host].SetShares(m.shares)
				}
			},
			"restart":    func(t *rapid.T) { start(host(t)) },
			"new leader": func(*rapid.T) { term++; d = NewDivider(hosts, 0, term) },
			"": func(t *rapid.T) {
				var sum identifier.Share
				for h, a := range admitters {
					s := a.shareOf("choir")
					if s < d.StartShare()-epsilon {
						t.Fatalf("%s has a share of %v, below the floor of %v", h, s, d.StartShare())
					}
					sum += s
				}
				if sum > 1+epsilon {
					t.Fatalf("the shares in effect add to %v", sum)
				}
			},
		})
	})
}

package loadbench

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// blockTokens is the length of a block in tokens, at four bytes per token.
const blockTokens = router.BlockBytes / 4

// Workload describes the callers' requests.
type Workload struct {
	// Guides is the number of shared documents (style guides or calls for
	// applications) that prompts contain. GuideZipfExponent is the exponent of
	// the Zipf distribution of their popularity.
	Guides            int
	GuideZipfExponent float64
	// SystemTokens is the length of the prefix of all prompts, GuideTokens the
	// length of a guide, and UniqueTokens the mean length of the part that only
	// one request has.
	SystemTokens, GuideTokens, UniqueTokens int
	// Turns is the mean number of turns of a conversation. The prompt of each
	// turn repeats the conversation before it in full.
	Turns float64
	// ThinkTime is the mean time between turns, in addition to minTurnInterval.
	ThinkTime time.Duration
	// OutputTokens is the mean length of an answer.
	OutputTokens int
	// Customers lists the customers with their shares of the requests.
	Customers []CustomerLoad
}

// CustomerLoad is the load of one customer.
type CustomerLoad struct {
	Limits admitter.CustomerLimits
	// Share is the customer's share of the requests, relative to the other
	// customers' shares.
	Share float64
	// BatchShare is the share of the customer's requests that have batch
	// priority.
	BatchShare float64
}

// Briefs returns the workload of catalogue briefs and captions: long style
// guides and single requests.
func Briefs() Workload {
	return Workload{
		Guides: 40, GuideZipfExponent: 0.8, SystemTokens: 512, GuideTokens: 4096, UniqueTokens: 400,
		Turns: 1, OutputTokens: 250, Customers: fewLargeCustomers(),
	}
}

// Drafts returns the workload of a drafting assistant: a few calls for
// applications, and conversations of several turns.
func Drafts() Workload {
	return Workload{
		Guides: 6, GuideZipfExponent: 0.8, SystemTokens: 512, GuideTokens: 2048, UniqueTokens: 500,
		Turns: 5, ThinkTime: 30 * time.Second, OutputTokens: 300, Customers: fewLargeCustomers(),
	}
}

// fewLargeCustomers returns two large customers and three small ones.
func fewLargeCustomers() []CustomerLoad {
	var c []CustomerLoad
	for i, share := range []float64{45, 45, 4, 3, 3} {
		name := identifier.Customer([]string{"large1", "large2", "small1", "small2", "small3"}[i])
		c = append(c, CustomerLoad{Limits: admitter.CustomerLimits{Customer: name}, Share: share})
	}
	return c
}

// prompt is the prompt of one request, with the length of its answer.
type prompt struct {
	blocks []router.Block
	tokens int
	output int
}

// generator generates prompts.
type generator struct {
	w                 Workload
	rng               *rand.Rand
	cumulativeWeights []float64
	openConversations []conversation
	sequence          uint64
	seen              map[router.Block]bool
	// novelTokens counts the tokens outside the blocks that an earlier prompt
	// contained, including those of incomplete last blocks.
	novelTokens int64
}

// conversation is a prompt that later turns extend.
type conversation struct {
	prompt  prompt
	readyAt time.Time
}

const (
	// maxOpenConversations is the maximum number of conversations that wait for
	// their next turn.
	maxOpenConversations = 1 << 14
	// minTurnInterval is the minimum time between turns, for the previous
	// answer.
	minTurnInterval = 10 * time.Second
)

// newGenerator returns a generator that takes its random numbers from rng.
func newGenerator(w Workload, rng *rand.Rand) *generator {
	g := &generator{w: w, rng: rng, seen: make(map[router.Block]bool)}
	var sum float64
	for i := range w.Guides {
		sum += math.Pow(float64(i+1), -w.GuideZipfExponent)
		g.cumulativeWeights = append(g.cumulativeWeights, sum)
	}
	return g
}

// nextPrompt returns the next turn of a conversation that is ready for it, or
// else the first turn of a new one.
func (g *generator) nextPrompt(now time.Time) prompt {
	g.sequence++
	var c conversation
	if i := slices.IndexFunc(g.openConversations, func(c conversation) bool { return !now.Before(c.readyAt) }); i >= 0 {
		c = g.openConversations[i]
		g.openConversations = slices.Delete(g.openConversations, i, i+1)
	} else {
		guide := uint64(g.sampleGuide()) + 1
		c.extend(1<<40, g.w.SystemTokens)
		c.extend(2<<40|guide, g.w.GuideTokens)
	}
	c.extend(3<<40|g.sequence, int(g.sampleLength(g.w.UniqueTokens)))
	c.prompt.output = max(int(g.sampleLength(g.w.OutputTokens)), 4)
	if g.rng.Float64() < 1-1/g.w.Turns && len(g.openConversations) < maxOpenConversations {
		later := conversation{prompt: prompt{blocks: c.prompt.blocks, tokens: c.prompt.tokens}}
		later.readyAt = now.Add(time.Duration(g.rng.ExpFloat64()*float64(g.w.ThinkTime)) + minTurnInterval)
		later.extend(4<<40|g.sequence, c.prompt.output)
		g.openConversations = append(g.openConversations, later)
	}
	g.countNovel(&c.prompt)
	return c.prompt
}

// countNovel adds the tokens that no cache could hold yet to novelTokens.
func (g *generator) countNovel(p *prompt) {
	known := 0
	for _, b := range p.blocks {
		if g.seen[b] {
			known++
		}
		g.seen[b] = true
	}
	g.novelTokens += int64(p.tokens - known*blockTokens)
}

// extend appends a text of the given length to the conversation and adds the
// blocks that are now full. text identifies the text in the hashes of the
// blocks.
func (c *conversation) extend(text uint64, tokens int) {
	p := &c.prompt
	p.tokens += tokens
	blocks := p.blocks[:len(p.blocks):len(p.blocks)]
	for len(blocks) < p.tokens/blockTokens {
		var b [24]byte
		if len(blocks) > 0 {
			binary.LittleEndian.PutUint64(b[:], uint64(blocks[len(blocks)-1]))
		}
		binary.LittleEndian.PutUint64(b[8:], text)
		binary.LittleEndian.PutUint64(b[16:], uint64(len(blocks)))
		blocks = append(blocks, router.Block(xxhash.Sum64(b[:])))
	}
	p.blocks = blocks
}

// sampleGuide returns the index of a random guide.
func (g *generator) sampleGuide() int {
	x := g.rng.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for i, w := range g.cumulativeWeights {
		if x < w {
			return i
		}
	}
	return len(g.cumulativeWeights) - 1
}

// sampleLength returns a random length between a quarter of the mean and twice
// the mean. Short lengths are more likely.
func (g *generator) sampleLength(mean int) float64 {
	return float64(mean) * min(max(g.rng.ExpFloat64(), 0.25), 2)
}

// sampleCustomer returns the customer that sends a request, sampled by Share.
func (g *generator) sampleCustomer() *CustomerLoad {
	var sum float64
	for i := range g.w.Customers {
		sum += g.w.Customers[i].Share
	}
	x := g.rng.Float64() * sum
	for i := range g.w.Customers {
		c := &g.w.Customers[i]
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return &g.w.Customers[len(g.w.Customers)-1]
}

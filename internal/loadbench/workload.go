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

// blockTokens is the length of a block in tokens, at four bytes a token.
const blockTokens = router.BlockBytes / 4

// Workload describes the callers' requests.
type Workload struct {
	// Guides is the number of style guides or calls for applications, GuideZipf
	// the exponent of their popularity.
	Guides    int
	GuideZipf float64
	// SystemTokens is the length of what all prompts start with, GuideTokens
	// that of a guide, OwnTokens that of a request's own part.
	SystemTokens, GuideTokens, OwnTokens int
	// Turns is the mean number of turns of a conversation; each turn repeats
	// the whole before it.
	Turns float64
	// Think is the mean time from one turn to the next.
	Think time.Duration
	// OutputTokens is the mean length of an answer.
	OutputTokens int
	// Customers lists who sends, with their parts of the requests.
	Customers []CustomerLoad
}

// CustomerLoad is one customer's part of the load.
type CustomerLoad struct {
	Limits admitter.CustomerLimits
	// Part is its part of the requests, relative to the others.
	Part float64
	// BatchPart is the part of its requests that are batch.
	BatchPart float64
}

// Briefs is the workload of catalogue briefs and captions: long style guides
// and single requests.
func Briefs() Workload {
	return Workload{
		Guides: 40, GuideZipf: 0.8, SystemTokens: 512, GuideTokens: 4096, OwnTokens: 400,
		Turns: 1, OutputTokens: 250, Customers: fewLarge(),
	}
}

// Drafts is the workload of a drafting assistant: a few calls for applications
// and conversations that grow.
func Drafts() Workload {
	return Workload{
		Guides: 6, GuideZipf: 0.8, SystemTokens: 512, GuideTokens: 2048, OwnTokens: 500,
		Turns: 5, Think: 30 * time.Second, OutputTokens: 300, Customers: fewLarge(),
	}
}

// fewLarge is two large customers and three small ones.
func fewLarge() []CustomerLoad {
	var c []CustomerLoad
	for i, part := range []float64{45, 45, 4, 3, 3} {
		name := identifier.Customer([]string{"large1", "large2", "small1", "small2", "small3"}[i])
		c = append(c, CustomerLoad{Limits: admitter.CustomerLimits{Customer: name}, Part: part})
	}
	return c
}

// prompt is one request's prompt.
type prompt struct {
	blocks []router.Block
	tokens int
	output int
}

// generator yields prompts.
type generator struct {
	w       Workload
	rng     *rand.Rand
	weights []float64
	open    []conversation
	next    uint64
	seen    map[router.Block]bool
	// novel counts the tokens of blocks that no prompt held before, and of
	// tails.
	novel int64
}

// conversation is a prompt that later turns go on from.
type conversation struct {
	prompt prompt
	ready  time.Time
}

const (
	// maxOpen bounds the conversations that may go on.
	maxOpen = 1 << 14
	// answerTime is the least time from one turn to the next.
	answerTime = 10 * time.Second
)

// newGenerator returns a generator whose prompts follow from rng.
func newGenerator(w Workload, rng *rand.Rand) *generator {
	g := &generator{w: w, rng: rng, seen: make(map[router.Block]bool)}
	var sum float64
	for i := range w.Guides {
		sum += math.Pow(float64(i+1), -w.GuideZipf)
		g.weights = append(g.weights, sum)
	}
	return g
}

// prompt returns the next prompt: the next turn of a conversation that is ready
// for it, or a first turn.
func (g *generator) prompt(now time.Time) prompt {
	g.next++
	var c conversation
	if i := slices.IndexFunc(g.open, func(c conversation) bool { return !now.Before(c.ready) }); i >= 0 {
		c = g.open[i]
		g.open = slices.Delete(g.open, i, i+1)
	} else {
		guide := uint64(g.guide()) + 1
		c.extend(1<<40, g.w.SystemTokens)
		c.extend(2<<40|guide, g.w.GuideTokens)
	}
	c.extend(3<<40|g.next, int(g.spread(g.w.OwnTokens)))
	c.prompt.output = max(int(g.spread(g.w.OutputTokens)), 4)
	if g.rng.Float64() < 1-1/g.w.Turns && len(g.open) < maxOpen {
		later := conversation{prompt: prompt{blocks: c.prompt.blocks, tokens: c.prompt.tokens}}
		later.ready = now.Add(time.Duration(g.rng.ExpFloat64()*float64(g.w.Think)) + answerTime)
		later.extend(4<<40|g.next, c.prompt.output)
		g.open = append(g.open, later)
	}
	g.countNovel(&c.prompt)
	return c.prompt
}

// countNovel counts what no cache could hold yet.
func (g *generator) countNovel(p *prompt) {
	known := 0
	for _, b := range p.blocks {
		if g.seen[b] {
			known++
		}
		g.seen[b] = true
	}
	g.novel += int64(p.tokens - known*blockTokens)
}

// extend adds text to the conversation and the blocks that it fills.
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

// guide draws a style guide.
func (g *generator) guide() int {
	x := g.rng.Float64() * g.weights[len(g.weights)-1]
	for i, w := range g.weights {
		if x < w {
			return i
		}
	}
	return len(g.weights) - 1
}

// spread draws a length between a quarter and twice the mean, most of them
// short.
func (g *generator) spread(mean int) float64 {
	return float64(mean) * min(max(g.rng.ExpFloat64(), 0.25), 2)
}

// customer draws who sends a request.
func (g *generator) customer() *CustomerLoad {
	var sum float64
	for i := range g.w.Customers {
		sum += g.w.Customers[i].Part
	}
	x := g.rng.Float64() * sum
	for i := range g.w.Customers {
		c := &g.w.Customers[i]
		if x -= c.Part; x < 0 {
			return c
		}
	}
	return &g.w.Customers[len(g.w.Customers)-1]
}

package pacer

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// serverHalfLife is the half-life of the ratios of a server.
	serverHalfLife = 2500 * time.Millisecond
	// priorWeight is the weight of ratio 1 in the average of a server.
	priorWeight = 3.0
	// maxReportWeight bounds how many ratios of one report count, and maxStep how far
	// they may be from what is known, as a factor: a host which measures wrongly moves
	// an average little, while all hosts together move it as far as needed.
	maxReportWeight = 2.0
	maxStep         = 2.0
	// stepPriorWeight is the weight of factor 1 in the step factor of a service.
	stepPriorWeight = 10.0
	// forgetAfter is how long a server of which nothing is heard is remembered.
	forgetAfter = 30 * time.Second
	// figureMeanHalfLife is the half-life of the figures in their mean.
	figureMeanHalfLife = 10 * time.Second
	// workHalfLife is the half-life of the work that calls bring.
	workHalfLife = 2 * time.Second
	// usualDeviation is the deviation of a server's speed, as a logarithm, below which
	// it counts as usual.
	usualDeviation = 0.15
	// figureTTL is how long a figure is passed on.
	figureTTL = 2 * time.Second
)

// Book holds the paces on the leader.
type Book struct {
	servers  map[identifier.ServerRun]*serverPace
	services map[identifier.Service]*servicePace
}

// serverPace is the decaying average of the logarithms of a server's ratios.
type serverPace struct {
	sum, weight float64
	at          time.Time
	figure      Figure
	// figureSum is the decaying sum of figures, as of figure.At.
	figureSum, figureWeight float64
}

// servicePace holds the decaying measurements of a service.
type servicePace struct {
	first          Sums
	stepSum, stepN float64
	// work and long are in seconds.
	work, long float64
	at         time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{servers: make(map[identifier.ServerRun]*serverPace), services: make(map[identifier.Service]*servicePace)}
}

// Add adds a report of a host. Values that are no measurements are ignored.
func (b *Book) Add(now time.Time, r Report) {
	for _, s := range r.Servers {
		b.addServer(now, s)
	}
	for _, s := range r.Services {
		b.addService(now, s)
	}
}

// addServer adds the ratios and the figure of a server.
func (b *Book) addServer(now time.Time, r ServerReport) {
	p := b.servers[r.Server]
	if p == nil {
		p = &serverPace{at: now}
		b.servers[r.Server] = p
	}
	p.decay(now)
	if mean := r.LogSum / float64(r.Count); r.Count > 0 && math.Abs(mean) <= math.Log(maxRatio)+1e-9 {
		known, step := math.Log(p.ratio(now)), math.Log(maxStep)
		weight := min(float64(r.Count), maxReportWeight)
		p.sum += weight * min(max(mean, known-step), known+step)
		p.weight += weight
	}
	if at := now.Add(-r.Age); r.Figure >= 1/maxRatio && r.Figure <= maxRatio && at.After(p.figure.At) {
		f := 0.0
		if !p.figure.At.IsZero() {
			f = decayed(at.Sub(p.figure.At), figureMeanHalfLife)
		}
		p.figureSum, p.figureWeight = p.figureSum*f+r.Figure, p.figureWeight*f+1
		p.figure = Figure{r.Figure, at}
	}
}

// decay lets the ratios count for less.
func (p *serverPace) decay(now time.Time) {
	f := decayed(now.Sub(p.at), serverHalfLife)
	p.sum, p.weight, p.at = p.sum*f, p.weight*f, now
}

// ratio returns the average ratio at the time now.
func (p *serverPace) ratio(now time.Time) float64 {
	f := decayed(now.Sub(p.at), serverHalfLife)
	return math.Exp(p.sum * f / (p.weight*f + priorWeight))
}

// addService adds the measurements of a service.
func (b *Book) addService(now time.Time, r ServiceReport) {
	if !r.First.isFinite() || math.IsNaN(r.StepLogSum) || math.Abs(r.StepLogSum) > float64(r.StepCount)*math.Log(maxRatio)+1e-9 {
		return
	}
	p := b.services[r.Service]
	if p == nil {
		p = &servicePace{at: now}
		b.services[r.Service] = p
	}
	f := decayed(now.Sub(p.at), serviceHalfLife)
	p.first = p.first.times(f).plus(r.First)
	p.work = p.work*decayed(now.Sub(p.at), workHalfLife) + max(r.Work.Seconds(), 0)
	p.long = p.long*f + max(r.Long.Seconds(), 0)
	p.stepSum, p.stepN, p.at = p.stepSum*f+r.StepLogSum, p.stepN*f+float64(r.StepCount), now
}

// Paces are what the leader knows of speeds.
type Paces struct {
	Servers  map[identifier.ServerRun]Pace
	Services map[identifier.Service]Service
}

// Pace is the speed of one server.
type Pace struct {
	// Ratio is how long work takes there compared with the average server of its
	// service.
	Ratio float64
	// Mean is the mean of the server's recent figures, 0 if there is none.
	Mean float64
	// Figure is the newest figure that the server has said, 0 if there is none, and
	// Age its age.
	Figure float64
	Age    time.Duration
}

// isUsual reports whether a server is about as fast as others and says nothing of
// itself, so that hosts need not be told.
func (p Pace) isUsual() bool {
	return p.Figure == 0 && math.Abs(math.Log(p.Ratio*orOne(p.Mean))) < usualDeviation
}

// Paces returns what is known at the time now, but for servers that are about as fast
// as others, and forgets servers of which nothing was heard for long. With thousands of
// servers the paces of all would be most of what the leader sends.
func (b *Book) Paces(now time.Time) Paces {
	out := Paces{Servers: make(map[identifier.ServerRun]Pace, len(b.servers)), Services: make(map[identifier.Service]Service, len(b.services))}
	for s, p := range b.servers {
		if now.Sub(p.at) > forgetAfter {
			delete(b.servers, s)
			continue
		}
		pace := Pace{Ratio: p.ratio(now)}
		if p.figureWeight > 0 {
			pace.Mean = p.figureSum / p.figureWeight
		}
		if age := now.Sub(p.figure.At); age < figureTTL {
			pace.Figure, pace.Age = p.figure.Ratio, age
		}
		if !pace.isUsual() {
			out.Servers[s] = pace
		}
	}
	for s, p := range b.services {
		sp := Service{}
		sp.Fixed, sp.Prefill = p.first.fit()
		if p.stepN > 0 {
			sp.Step = math.Exp(p.stepSum / (p.stepN + stepPriorWeight))
		}
		sp.Work = p.work * decayed(now.Sub(p.at), workHalfLife) * sp.PrefillFactor() * math.Ln2 / workHalfLife.Seconds()
		sp.LongWork = p.long * sp.PrefillFactor() * math.Ln2 / serviceHalfLife.Seconds()
		out.Services[s] = sp
	}
	return out
}

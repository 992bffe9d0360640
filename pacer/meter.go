package pacer

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// maxRatio bounds the ratio of one measurement, and its inverse too.
	maxRatio = 8.0
	// maxExcess bounds a time in the fit of a service, as a multiple of the expected
	// one. The rest was spent in a queue that the host did not know of.
	maxExcess = 4.0
	// maxMeasured is the longest time to the first token that is a measurement of
	// speed: a longer one was spent in a queue.
	maxMeasured = 3 * time.Second
	// figureHalfLife is how long after a figure half of its deviation counts.
	figureHalfLife = 400 * time.Millisecond
	// pacesTTL is how long the leader's paces count without newer ones.
	pacesTTL = 10 * time.Second
)

// Figure is how long work takes at a server at the moment, compared with a usual
// machine, as the server says itself.
type Figure struct {
	Ratio float64
	At    time.Time
}

// get returns the ratio that counts at the time now. The figure changes within a
// second, so that an old one says less than the mean of the server's figures; 0 means
// that there is no mean.
func (f Figure) get(now time.Time, mean float64) float64 {
	mean = orOne(mean)
	if f.At.IsZero() {
		return mean
	}
	return mean + (f.Ratio-mean)*decayed(now.Sub(f.At), figureHalfLife)
}

// Meter collects the measurements of one entry host and holds the paces of the
// leader.
type Meter struct {
	servers   map[identifier.ServerRun]*measured
	services  map[identifier.Service]*serviceSums
	paces     Paces
	appliedAt time.Time
	figures   map[identifier.ServerRun]Figure
}

// measured are the ratios of a server since the last report.
type measured struct {
	service identifier.Service
	sum     float64
	n       int
	// figure is the newest one that this host has seen itself.
	figure    Figure
	newFigure bool
}

// serviceSums are the measurements of a service since the last report.
type serviceSums struct {
	first   Sums
	stepSum float64
	stepN   int
	// work and long are the times for all prompts and for long ones, by the
	// constants.
	work, long time.Duration
}

// NewMeter returns a Meter without measurements.
func NewMeter() *Meter {
	return &Meter{
		servers: make(map[identifier.ServerRun]*measured), services: make(map[identifier.Service]*serviceSums),
		figures: make(map[identifier.ServerRun]Figure),
	}
}

// server returns the measurements of a server.
func (m *Meter) server(s identifier.ServerRun, service identifier.Service) *measured {
	d := m.servers[s]
	if d == nil {
		d = &measured{service: service}
		m.servers[s] = d
	}
	return d
}

// service returns the measurements of a service.
func (m *Meter) service(s identifier.Service) *serviceSums {
	d := m.services[s]
	if d == nil {
		d = &serviceSums{}
		m.services[s] = d
	}
	return d
}

// First records the time to the first token of a call. base is what the constants
// give for the prompt.
func (m *Meter) First(now time.Time, s identifier.ServerRun, service identifier.Service, base, took time.Duration) {
	if base <= 0 || took <= 0 || took > maxMeasured {
		return
	}
	figure := m.ownFigure(now, s)
	x, y := milliseconds(base), milliseconds(took)/figure
	sp := m.paces.Services[service]
	expected := milliseconds(sp.Fixed) + x*sp.PrefillFactor()
	m.service(service).first.add(x, min(y, maxExcess*expected))
	m.server(s, service).add(y / expected)
}

// Steps records the time of the decoding steps of a generation as a ratio to what
// the constants give.
func (m *Meter) Steps(now time.Time, s identifier.ServerRun, service identifier.Service, ratio float64) {
	if !(ratio > 0) {
		return
	}
	ratio = bounded(ratio / m.ownFigure(now, s))
	d := m.service(service)
	d.stepSum += math.Log(ratio)
	d.stepN++
	m.server(s, service).add(ratio / m.paces.Services[service].StepFactor())
}

// Placed records the prompt of a call that was placed, which takes the given time by
// the constants, and whether it is a long one.
func (m *Meter) Placed(service identifier.Service, base time.Duration, isLong bool) {
	d := m.service(service)
	d.work += base
	if isLong {
		d.long += base
	}
}

// Ratio returns how long work takes at a server compared with the average server of
// its service, by what is known of it beyond the moment.
func (m *Meter) Ratio(s identifier.ServerRun) float64 {
	p := m.paces.Servers[s]
	return orOne(p.Ratio) * orOne(p.Mean)
}

// ownFigure returns the figure of a server as this host has just seen it.
func (m *Meter) ownFigure(now time.Time, s identifier.ServerRun) float64 {
	if d := m.servers[s]; d != nil && d.figure.Ratio > 0 {
		return d.figure.get(now, m.paces.Servers[s].Mean)
	}
	return 1
}

// add adds one ratio.
func (d *measured) add(ratio float64) {
	d.sum += math.Log(bounded(ratio))
	d.n++
}

// bounded returns a ratio within its bounds.
func bounded(ratio float64) float64 { return min(max(ratio, 1/maxRatio), maxRatio) }

// Say records the figure in an answer of a server.
func (m *Meter) Say(now time.Time, s identifier.ServerRun, service identifier.Service, ratio float64) {
	if !(ratio > 0) {
		return
	}
	d := m.server(s, service)
	d.figure, d.newFigure = Figure{bounded(ratio), now}, true
	m.figures[s] = d.figure
}

// Factor returns how long work takes at a server compared with the average server of
// its service.
func (m *Meter) Factor(now time.Time, s identifier.ServerRun) float64 {
	factor := m.figures[s].get(now, m.paces.Servers[s].Mean)
	if p, ok := m.paces.Servers[s]; ok && now.Sub(m.appliedAt) < pacesTTL {
		factor *= orOne(p.Ratio)
	}
	return factor
}

// Service returns the speed of a service.
func (m *Meter) Service(s identifier.Service) Service { return m.paces.Services[s] }

// ViewAge returns the age of the leader's paces, or 0 if there are none.
func (m *Meter) ViewAge(now time.Time) time.Duration {
	if m.appliedAt.IsZero() {
		return 0
	}
	return now.Sub(m.appliedAt)
}

// Retain forgets all servers but those for which keep returns true.
func (m *Meter) Retain(keep func(identifier.ServerRun) bool) {
	for s := range m.servers {
		if !keep(s) {
			delete(m.servers, s)
		}
	}
	for s := range m.figures {
		if !keep(s) {
			delete(m.figures, s)
		}
	}
}

// Report is what a host has measured since its last report.
type Report struct {
	Servers  []ServerReport
	Services []ServiceReport
}

// ServerReport is the part of a Report about one server.
type ServerReport struct {
	Server  identifier.ServerRun
	Service identifier.Service
	// LogSum is the sum of the logarithms of Count ratios.
	LogSum float64
	Count  int
	// Figure is the newest figure, 0 if there is none, and Age its age.
	Figure float64
	Age    time.Duration
}

// ServiceReport is the part of a Report about one service.
type ServiceReport struct {
	Service identifier.Service
	First   Sums
	// StepLogSum is the sum of the logarithms of StepCount ratios of steps.
	StepLogSum float64
	StepCount  int
	// Work and Long are the times for all prompts and for long ones, by the
	// constants.
	Work, Long time.Duration
}

// Report returns the measurements since the last report and forgets them. If the
// report does not arrive, they are lost.
func (m *Meter) Report(now time.Time) Report {
	var r Report
	for s, d := range m.servers {
		if d.n == 0 && !d.newFigure {
			continue
		}
		sr := ServerReport{Server: s, Service: d.service, LogSum: d.sum, Count: d.n}
		if d.newFigure {
			sr.Figure, sr.Age = d.figure.Ratio, now.Sub(d.figure.At)
		}
		r.Servers = append(r.Servers, sr)
		d.sum, d.n, d.newFigure = 0, 0, false
	}
	for s, d := range m.services {
		r.Services = append(r.Services, ServiceReport{Service: s, First: d.first, StepLogSum: d.stepSum, StepCount: d.stepN, Work: d.work, Long: d.long})
	}
	clear(m.services)
	return r
}

// Apply applies the leader's paces.
func (m *Meter) Apply(now time.Time, p Paces) {
	m.paces, m.appliedAt = p, now
	for s, sp := range p.Servers {
		if at := now.Add(-sp.Age); sp.Figure > 0 && at.After(m.figures[s].At) {
			m.figures[s] = Figure{sp.Figure, at}
		}
	}
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

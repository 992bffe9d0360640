package placer

import (
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/pacer"
)

// minStepEvents is the number of events of a stream from which on its pace counts.
const minStepEvents = 4

// paceOf returns the pace of a server. The caller holds mu.
func (p *Placer) paceOf(s *serverState, now time.Time) pace {
	return pace{service: p.paces.Service(s.Service), factor: p.paces.Factor(now, s.run())}
}

// PaceReport returns what this host has measured of speeds since the last report.
func (p *Placer) PaceReport() pacer.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces.Report(p.opts.Clock.Now())
}

// ApplyPaces applies the speeds that all hosts have measured.
func (p *Placer) ApplyPaces(paces pacer.Paces) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.Apply(p.opts.Clock.Now(), paces)
	p.separate()
}

// paceAge returns the age of the speeds that all hosts have measured.
func (p *Placer) paceAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces.ViewAge(p.opts.Clock.Now())
}

// RecordLoad records what a response of the server says of its load; nil means
// nothing.
func (r Responder) RecordLoad(l *describer.Load) {
	if l == nil || l.Pace == 0 {
		return
	}
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	r.p.paces.Say(r.p.opts.Clock.Now(), r.state.run(), r.state.Service, l.Pace)
}

// RecordSteps records the pace of a stream after its first event: how many events
// came, and in which time.
func (c *Choice) RecordSteps(events int, took time.Duration) {
	if events < minStepEvents || took <= 0 {
		return
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if !c.state.Engine || c.state.EventTokens <= 0 {
		return
	}
	steps := float64(events * int(c.state.EventTokens))
	measured := took.Seconds() * 1000 / steps
	c.p.paces.Steps(c.p.opts.Clock.Now(), c.state.run(), c.state.Service, measured/baseStepMs(c.state.own.Context+c.state.others.Context))
}

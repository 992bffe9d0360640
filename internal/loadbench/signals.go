package loadbench

import "cyclamenhub.org/router"

// scheduleReports sends the engines' load reports to all hosts.
func (b *bench) scheduleReports() {
	r := b.s.Reports
	if r.Every <= 0 {
		return
	}
	b.after(r.Every, func() {
		if r.StopAfter > 0 && b.now.Sub(start) > r.StopAfter {
			return
		}
		b.scheduleReports()
		reports := make([]router.LoadReport, len(b.engines))
		for i, e := range b.engines {
			reports[i] = e.report()
			if i < r.Liars {
				reports[i] = router.LoadReport{BackendServer: e.BackendServer}
			}
		}
		b.after(r.Lag, func() {
			for i, report := range reports {
				for _, h := range b.hosts {
					if !r.OwnDomain || h.domain == b.engines[i].FailureDomain {
						h.observe(i, report)
					}
				}
			}
		})
	})
}

// scheduleCacheEvents sends what changed in the engines' caches to all hosts.
func (b *bench) scheduleCacheEvents() {
	c := b.s.CacheEvents
	if c.Every <= 0 {
		return
	}
	b.after(c.Every, func() {
		b.scheduleCacheEvents()
		for _, e := range b.engines {
			stored, evicted := e.cache.takeChanges()
			event := router.CacheEvent{BackendServer: e.BackendServer, Stored: stored, Evicted: evicted}
			for _, h := range b.hosts {
				if b.rng.Float64() >= c.Loss {
					b.after(c.Lag, func() { h.router.Observe(event) })
				}
			}
		}
	})
}

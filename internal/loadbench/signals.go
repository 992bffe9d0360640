package loadbench

import "cyclamenhub.org/router"

// scheduleReports schedules the delivery of the engines' load reports to the
// hosts.
func (b *simulation) scheduleReports() {
	r := b.s.Reports
	if r.Interval <= 0 {
		return
	}
	b.After(r.Interval, func() {
		if r.StopAfter > 0 && b.Now().Sub(startTime) > r.StopAfter {
			return
		}
		b.scheduleReports()
		reports := make([]router.LoadReport, len(b.engines))
		for i, e := range b.engines {
			reports[i] = e.report()
			if i < r.ZeroLoadServers {
				reports[i] = router.LoadReport{BackendServer: e.BackendServer}
			}
		}
		b.After(r.Lag, func() {
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

// scheduleCacheEvents schedules the delivery of the changes in the engines'
// caches to all hosts.
func (b *simulation) scheduleCacheEvents() {
	c := b.s.CacheEvents
	if c.Interval <= 0 {
		return
	}
	b.After(c.Interval, func() {
		b.scheduleCacheEvents()
		for _, e := range b.engines {
			stored, evicted := e.cache.takeChanges()
			event := router.CacheEvent{BackendServer: e.BackendServer, Stored: stored, Evicted: evicted}
			for _, h := range b.hosts {
				if b.rng.Float64() >= c.Loss {
					b.After(c.Lag, func() { h.router.Observe(event) })
				}
			}
		}
	})
}

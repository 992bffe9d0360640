// Package discoverer keeps a current copy of the list of backend servers that a
// platform publishes.
//
// The published list lags behind the servers, and is read in pages under a rate
// limit. Each listing replaces the previous one completely, so that a backend
// server that is no longer listed gets no new work. While the list cannot be
// read, the last listing stays in use; what hosts observe of the servers
// themselves takes precedence over it.
//
// One process reads the list for many. The others are offered its listings, and
// read the list themselves only if no process has confirmed the last offer
// recently. An offer that comes during such a reading is newer and stands, and so
// does one that is confirmed later than the reading began.
//
// # Usage
//
//	d := discoverer.New(discoverer.Options{Source: platform, Interval: 700 * time.Millisecond, OnChange: publish})
//	go d.Run(ctx)
//	d.Offer(listing)       // another process has read this listing
//	d.Confirm(age)         // and it was still current the given time ago
//	listing := d.Listing()
package discoverer

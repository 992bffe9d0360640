// Package discoverer keeps the list of backend servers that a platform
// publishes.
//
// The list lags and is read in pages under a rate limit. A reading replaces the
// one before it as a whole, so that a backend server that is no longer listed
// takes no new work. While the list cannot be read the last reading stands: what
// the hosts see of the servers themselves goes before it.
//
// One process reads the list for many: the others are offered its readings, and
// read the list themselves only where no one has vouched for the last offer for
// a while.
//
// # Usage
//
//	d := discoverer.New(discoverer.Options{Source: platform, Interval: 700 * time.Millisecond, OnChange: publish})
//	go d.Run(ctx)
//	d.Offer(listing)       // another process has read this
//	d.Vouch()              // and it is still current
//	listing := d.Listing()
package discoverer

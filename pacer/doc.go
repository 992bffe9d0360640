// Package pacer learns how fast the model engines of a service are, and each of its
// servers compared with the others, from what all entry hosts measure.
//
// The time to the first token is taken as a fixed time plus the time for the prompt
// tokens that are not cached. Hosts measure it for each call against the time that
// rough constants give. The Book on the leader fits a line through the measurements
// of all hosts (least squares, old ones forgotten), which gives the fixed time and
// the factor of a service. The time of a decoding step is learned as a factor alone.
// Against these times of the service each call then gives the ratio of its server,
// and the Book averages the logarithms of these ratios for each server.
//
// With the syncs of a host go the sums of what it has measured since the last one.
// So a host that has sent three calls to a server knows what sixty others have seen.
// No single call counts for much: a ratio is bounded, and so is the weight of one
// report. An average holds some weight of ratio 1 and forgets within seconds, so that
// a server of which nothing is heard is tried again.
//
// A server may also say in its answers how long work takes there at the moment, since
// it shares its machine with others. This Figure changes several times a second. The
// newest one that any host has seen is passed on with its age, and counts for less
// the older it is. Ratios are taken after the figure is divided out.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
//
// # Usage
//
//	meter.First(server, service, base, took, figure)  // on an entry host
//	meter.Steps(server, service, ratio)
//	report := meter.Report(now)                       // with each sync
//
//	book.Add(now, report)                             // on the leader
//	meter.Apply(now, book.Paces(now))                 // the answer
package pacer

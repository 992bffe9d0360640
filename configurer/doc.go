// Package configurer reads and checks the two documents that configure
// cyclamenhub.
//
// Settings configure one process: its host name, failure domain, addresses,
// peers and data folder. They are read from a JSON file at start.
//
// Fleet is the document that all hosts share: fleet-wide defaults and a short
// list of exceptions, each with a written reason. It changes only through the
// control log, and every accepted document has a revision.
//
// Both are validated strictly: unknown fields, malformed addresses and
// contradictory values are all reported together, each with its path in the
// document and a remedy.
//
// # Usage
//
//	cfg, err := configurer.ReadSettings("a1.json")
//	if err != nil {
//		return err // every fault on its own line
//	}
//	fleet, err := configurer.DecodeFleet(document)
//	effective, err := fleet.Effective(clock.Now())
//
//	f := configurer.NewFollower(clock, func(revision identifier.Revision, effective *configurer.Fleet) {
//		... // apply it
//	})
//	go f.Run(ctx)
//	err = f.Apply(revision, document) // after the control log accepts it
package configurer

// Package rig runs a small deployment for the cases of a review: keepers and entry hosts as
// separate processes with settings like those of the platform, on loopback addresses and free
// ports, with a stand-in of the platform's interface in this process.
//
//	r, err := rig.New("record.txt")
//	defer r.Close()
//	r.AddKeepers(3)
//	e := r.AddEntry("be-central-a")
//	err = r.Start(document)
package rig

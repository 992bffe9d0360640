// Command rig3 runs the cases of the third review that are scripts. It starts the programs of
// the deploy file as separate processes on loopback addresses, with settings like those of a
// small deployment, and plays the platform, the operator, the workers and the clients.
//
// # Usage
//
//	target/rig3 CASE RECORD
//
// CASE is the name of a case, RECORD the file to which is written what was sent, answered and
// run. With TROUBLE=0 the disruption is left out. The exit status is 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

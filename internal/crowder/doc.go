// Package crowder holds tests that play crowds of clients which do not stay inside the
// limits, against processes of the system with little memory and few descriptors.
//
// Each test starts a keeper, an entry host and stand-ins of the platform and of a
// backend server on loopback addresses. Then a crowd of one kind sends what it has to
// send, and stays connected. The tests check only what does not depend on the speed of
// the machine: that the processes live, that their memory and descriptors stay within
// the limits in their settings, and that one ordinary request is answered. They ask
// neither how long that takes nor how many of the crowd are served.
//
// A test that ran beside other load could fail to bring its fault about. So the tests
// stand behind a build tag and run one at a time:
//
//	go test -count=1 -p 1 -timeout 40m -tags crowd ./internal/crowder
package crowder

// Package scenario holds the scenarios that run the whole system in separate
// processes on loopback.
//
// Each file in testdata is a script in the language of testscript, with these
// commands besides its own:
//
//	expand FILE...               replaces ${VAR} in files
//	start NAME PROGRAM ARGS...   starts a process in the background
//	signal SIGNAL NAME           sends TERM, KILL, STOP or CONT to it
//	ended NAME                   waits until it has ended, and checks exit code 0
//	await REGEXP PROGRAM ARGS... repeats a command until its output matches
//	http [-s STATUS] [-h 'NAME: VALUE']... METHOD URL [BODY]
//	                             makes a call, checks its status, prints the body
//	traffic start|N URL KEY BODY sends requests, in the background or N of them
//	traffic stop                 ends those in the background
//	deadline DURATION            sets DEADLINE to the time after it
//
// Every script has loopback addresses of its own in IP1 to IP9, so that scripts
// run side by side and fixed ports do not meet.
//
// # Usage
//
//	go test ./internal/scenario -run 'TestScenarios/path'
package scenario

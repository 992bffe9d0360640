// Package scenario contains end-to-end tests that run the full system as
// separate processes on loopback.
//
// Each file in testdata is a testscript script. Besides the standard commands,
// the scripts have these:
//
//	expand FILE...               replaces ${VAR} in files
//	start NAME PROGRAM ARGS...   starts a process in the background
//	signal SIGNAL NAME           sends TERM, KILL, STOP or CONT to a process
//	ended NAME                   waits until it has exited, and checks exit code 0
//	await REGEXP PROGRAM ARGS... repeats a command until its output matches
//	http [-s STATUS] [-h 'NAME: VALUE']... METHOD URL [BODY]
//	                             sends a request, checks the status, prints the body
//	traffic start|N URL KEY BODY sends requests, in the background or N of them
//	traffic stop                 stops those in the background
//	deadline DURATION            sets DEADLINE to the current time plus DURATION
//
// Every script has its own loopback addresses in IP1 to IP9, so that scripts can
// run in parallel and use the same fixed ports.
//
// # Usage
//
//	go test ./internal/scenario -run 'TestScenarios/path'
package scenario

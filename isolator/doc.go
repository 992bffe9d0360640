// Package isolator finds what ends each backend server that begins to answer it (a
// query of death), a part of prompts or a whole request that is repeated, and keeps
// such calls away from the backend servers.
//
// Evidence comes from the entry hosts. When a connection breaks while calls wait
// for an answer, the host dials the server again. If that is refused, the process
// of the server has ended, and the shared parts of the calls that it had only
// begun to answer, and these calls as whole requests, are suspects. A connection
// that breaks while the server listens, and a server that does not respond, say
// nothing about calls. Evidence against a suspect is a call with it that was
// answered completely, or for longer than SurvivalTime.
//
// The Investigator on the leader decides, by this evidence alone, which part to
// isolate: one that was among the suspects of several ends in a row without a call
// that survived in between, and of clearly more than any other, while other calls of
// the service survived. Ends shortly after each other count once, and many at the
// same moment not at all, since they have another cause in common. An end that an
// isolated part explains is no evidence against other parts.
//
// A whole request is isolated by fewer ends, since no other call shares it, and by the
// ends of a service alone whose servers all end. The request must account for its ends
// better than any other request on them, and no repetition may have survived for some
// time. A part is not blamed while one request was on nearly all of its ends, nor a
// request while a part explains its ends and many more.
//
// The Book holds what was decided, and the ends. It is replicated, so that it
// outlives leaders and restarts of all processes. An isolation ends when no call has
// asked for the part for some time, when the service runs another version, or when a
// call that was let through as a probe is answered. There are few probes, since each
// may end a server. After an isolation has ended, one end renews it.
//
// The Watcher on each entry host collects the evidence and tells which calls to
// refuse. While the host has no contact with a leader it also decides by what it
// knows itself.
//
// # Usage
//
//	w := isolator.NewWatcher(host, clock)                 // on an entry host
//	suspects := append(parts, isolator.RequestSuspect(fingerprint))
//	if id, ok := w.Isolated(service, suspects); ok { ... } // refuse the call
//	if w.Lost(end, suspects) { w.Confirm(end.Server, refused) }
//	w.Survived(service, suspects)
//	report, told := w.Report()                            // with each sync
//
//	i := isolator.NewInvestigator()                       // on the leader
//	i.Record(now, host, report)
//	for _, ev := range i.Decide(now, &book, hearing, versions) { ... } // propose to the log
//	book.Apply(ev)                                        // on every keeper
package isolator

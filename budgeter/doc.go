// Package budgeter bounds the bytes that a host holds of the bodies that it receives.
//
// A body opens a Claim and takes the memory for each of its parts from the Budget before the
// part is allocated. Every byte counts. Parts beyond the first SmallBytes of a body may take
// up the large share of the Budget only, so that small bodies pass while large ones do not.
//
// When the Budget is full, a body that receives nothing makes room: the one that has waited
// longest for its next byte, for at least the grace, loses its claim. Its bytes count no more
// from that moment, its reader wakes by a read deadline in the past, and its call ends as not
// run. If every body moves, the one that needs more is refused. A body that is complete is
// never ended.
//
// # Usage
//
//	c := budget.Open(conn.SetReadDeadline)
//	defer c.Release()
//	if err := c.Take(n, isLarge); err != nil { … } // before each part
//	if err := c.Await(limit); err != nil { … }     // before each read
//	if err := c.Settle(); err != nil { … }         // once the body is complete
package budgeter

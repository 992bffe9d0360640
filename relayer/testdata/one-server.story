# A service with one server, which hangs, and is dead later.
0.0 servers 1
0.0 calls 10
2.0 way hang
4.0 way up
6.0 way reset
8.0 way up
9.0 end

# The same, and calls are few: a round per call that waits.
0.0 calls 2
2.0 way silent s4 s5 s6 s7
4.5 way up
6.0 end

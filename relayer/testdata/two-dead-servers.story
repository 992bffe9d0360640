# Two servers of nine are dead and calls are few: rounds, but no belief.
0.0 calls 2
1.0 way reset s4 s5
11.0 end

# All connections are reset: two failures and a round of probes are over at once.
0.0 calls 20
2.0 way reset
5.0 way up
6.5 end

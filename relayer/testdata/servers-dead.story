# All servers of the service are dead; two start anew.
0.0 calls 20
2.0 way reset
5.0 way up s4 s7
11.0 end

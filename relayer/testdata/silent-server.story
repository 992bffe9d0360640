# One server of nine is silent for 1.5 s, and callers come as usual: no probe.
0.0 calls 20
2.0 way silent s4
3.5 way up s4
6.0 end

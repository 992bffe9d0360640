# One server of nine is dead, and callers come as usual: no probe.
0.0 calls 20
1.0 way reset s4
6.0 end

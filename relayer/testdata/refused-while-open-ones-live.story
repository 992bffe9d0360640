# Open connections live on. Nothing is amiss until the host needs new ones.
0.0 calls 20
2.0 way refuse
3.0 fresh
5.0 way up
6.5 end

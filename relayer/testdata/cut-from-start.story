# The host has no connection yet and gets none: its first call is evidence enough.
0.0 fresh
0.0 way hang
1.0 call
4.0 way up
5.0 end

# The host is cut off and heals every 0.4 s.
0.0 calls 20
1.0 way hang
1.4 way up
1.8 way hang
2.2 way up
2.6 way hang
3.0 way up
3.4 way hang
3.8 way up
4.2 way hang
4.6 way up
6.0 end

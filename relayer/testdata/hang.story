# All connections hang: the host believes it well within a second, and one probe heals it.
0.0 calls 20
2.0 way hang
5.0 way up
6.5 end

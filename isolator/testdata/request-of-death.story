# One request ends all servers of a service within a second; no other call survives.
0.0 survive first
5.00 end s1 request:bad,request:a
5.11 end s2 request:bad,request:b
5.20 end s3 request:bad
5.26 end s4 request:bad,request:b
# Servers are back. The request may pass once after 20 s and once after 10 min.
9.0 survive first
9.5 asked request:bad
30.0 asked request:bad
31.0 end s1 request:bad
60.0 asked request:bad

# A part ends servers; each call with it is repeated once by its host.
0.0 survive first
1.0 end s1 first,bad,request:a
1.1 end s2 first,bad,request:a
1.2 survive first
2.0 end s3 first,bad,request:b
2.3 end s4 first,bad,request:b
2.6 survive first
3.0 end s5 first,bad,request:c
3.3 end s6 first,bad,request:c
3.5 survive first

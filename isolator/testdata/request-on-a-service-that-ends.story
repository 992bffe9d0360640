# The service ends on any call. One of them is repeated by its host and its caller.
0.0 survive first
1.0 end s1 request:a,request:r
1.3 end s2 request:r
1.5 end s3 request:c
1.7 end s4 request:r
2.0 end s1 request:d
2.4 end s2 request:e

# A sound request is repeated while a domain is lost and other servers end; it survives elsewhere.
0.0 survive first,request:poll
1.00 end s1 first,request:poll
1.01 end s2 first,request:poll
1.02 end s3 first,request:poll
2.0 end s4 first,request:poll
3.0 end s5 first,request:poll,request:other
3.9 survive first,request:poll
5.0 end s6 first,request:poll

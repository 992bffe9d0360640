# A request ends servers whatever else its session asks; the parts of its prompt are sound.
0.0 survive first,session
1.0 end s1 first,session,request:bad
1.2 survive first
1.8 end s2 first,session,request:bad
2.2 survive first
2.6 end s3 first,session,request:bad
3.1 survive first
3.6 end s4 first,session,request:bad
4.0 survive first
4.4 end s5 first,session,request:bad
# Another end with the session says nothing yet.
8.0 end s6 first,session,request:c

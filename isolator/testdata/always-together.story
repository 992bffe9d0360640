# Two parts always come together: the deeper one is isolated, which fewer sound calls contain.
0.9 survive other
1.0 end s1 first,bad
1.2 survive other
2.0 end s2 first,bad
3.0 end s3 first,bad
3.5 survive other
4.0 end s4 first,bad
5.0 end s1 first,bad
6.0 end s2 first,bad
7.0 end s3 first,bad
8.0 end s4 first,bad
9.0 end s1 first,bad
10.0 end s2 first,bad

# A second part begins while the first one is isolated; ends that the first explains say nothing.
0.5 survive first
1.0 end s1 first,bad,customer
1.2 survive first
2.0 end s2 first,bad,customer
2.2 survive first
3.0 end s3 first,bad,customer
3.1 survive first
3.2 end s4 first,bad,customer
3.25 survive first,customer
3.4 end s5 first,bad,worse
4.0 end s1 first,worse
4.2 survive first
5.0 end s2 first,worse
5.2 survive first
6.0 end s3 first,worse
6.1 survive first
7.0 end s4 first,worse

# All processes restart after three ends; the fourth isolates the part.
0.5 survive first
1.0 end s1 first,bad,customer
1.2 survive first,customer
2.0 end s2 first,bad,customer
2.1 survive first,customer
3.0 end s3 first,bad
3.1 leader
3.2 survive first
5.0 survive first
6.0 end s4 first,bad

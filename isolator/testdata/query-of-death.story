# One part ends server after server, sound calls share the others.
0.0 survive first,customer
1.0 end s1 first,bad,customer
1.2 survive first,customer
1.5 end s2 first,bad,other
1.7 survive first
2.2 end s3 first,bad,customer
2.3 survive first,customer
3.0 end s4 first,bad,other
3.1 survive first

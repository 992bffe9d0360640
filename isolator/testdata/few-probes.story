# Servers still end on the part: two calls are let through in all.
1.0 end s1 first,bad
1.2 survive first
2.0 end s2 first,bad
2.2 survive first
3.0 end s3 first,bad
3.2 survive first
4.0 end s4 first,bad
70.0 asked bad
71.0 end s1 first,bad
700.0 asked bad
701.0 end s2 first,bad
1200.0 asked bad
1700.0 asked bad
2200.0 asked bad

# Released after ten minutes without a call, then isolated again by one end.
1.0 end s1 first,bad
1.2 survive first
2.0 end s2 first,bad
2.2 survive first
3.0 end s3 first,bad
3.2 survive first
3.5 end s4 first,bad
3.6 survive first
60.0 asked bad
700.0 survive first
701.0 end s1 first,bad

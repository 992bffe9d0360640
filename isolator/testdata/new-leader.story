# Another keeper leads after two ends and learns of them only from later reports.
1.0 end s1 first,bad
2.0 end s2 first,bad
2.5 leader
3.0 survive first
3.1 end s3 first,bad
3.6 survive first
4.0 end s4 first,bad
4.5 end s1 first,bad
4.9 survive first

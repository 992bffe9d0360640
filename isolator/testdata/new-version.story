# A new version ends the isolation. There the part survives, and it counts as any other.
1.0 end s1 first,bad
1.2 survive first
2.0 end s2 first,bad
2.2 survive first
3.0 end s3 first,bad
3.2 survive first
3.5 end s4 first,bad
3.6 survive first
10.0 version v2
11.0 survive first,bad
12.0 end s4 first,bad
12.2 survive first

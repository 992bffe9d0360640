# A sound part is isolated by bad luck; a call that is let through after a minute ends that.
0.5 survive first
1.0 end s1 first,rare
2.0 end s2 first,rare
2.1 survive first
3.0 end s3 first,rare
3.1 survive first
4.0 end s4 first,rare
4.1 survive first
62.0 asked rare
65.0 asked rare
66.0 survive first,rare
# One more end does not bring it back.
70.0 end s1 first,rare
70.2 survive first

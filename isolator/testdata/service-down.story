# No call survives: the service itself ends, whatever it is asked.
1.0 end s1 first,one
2.0 end s2 first,two
3.0 end s3 first,three
4.0 end s4 first,four
5.0 end s1 first,five
6.0 end s2 first,six

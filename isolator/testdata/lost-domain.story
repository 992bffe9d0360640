# A failure domain is lost with calls of a rare session on three of its servers.
0.0 survive first,customer
1.00 end s1 first,customer,session
1.05 end s2 first,customer,session
1.10 end s3 first,customer,session
1.3 survive first,customer

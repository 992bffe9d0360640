# Servers end for another reason; the parts of the calls on them survive elsewhere.
1.0 end s1 first,customer,session
1.1 survive first,customer
2.0 end s2 first,customer,session
2.1 survive first,customer,session
3.0 end s3 first,customer,session
3.2 survive first
4.0 end s4 first,customer,session

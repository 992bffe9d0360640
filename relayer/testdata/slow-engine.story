# The only call waits 3 s for its first byte: a few single probes, at intervals that double.
0.0 first-byte 3.0
1.0 call
5.0 end

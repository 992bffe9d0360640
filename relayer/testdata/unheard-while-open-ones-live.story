# Three of nine connections are left and answer; dials to the others get no answer.
0.0 way unheard
0.0 fresh
0.0 way up s1 s2 s3
0.0 calls 20
3.0 way unheard
6.0 way up
7.5 end

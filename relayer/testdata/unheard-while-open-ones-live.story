# Three of nine connections are open and live on, while dials get no answer.
0.0 fresh s4 s5 s6 s7 s8 s9
0.0 way unheard
0.0 calls 20
3.0 way up
4.5 end

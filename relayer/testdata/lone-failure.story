# The only call in a while fails at one dead server of nine: a single round.
1.0 fresh
1.0 way reset s3
1.0 call s3
5.0 end

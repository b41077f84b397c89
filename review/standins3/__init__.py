"""Stand-ins and a harness that several cases of the third review share."""

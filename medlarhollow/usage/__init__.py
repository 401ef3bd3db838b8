"""Count the requests of each client account and report them."""

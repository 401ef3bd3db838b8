"""Reports of the requests of each client account to an outside receiver."""

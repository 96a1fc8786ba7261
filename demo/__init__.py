"""A demo of the whole system; run it with `make demo`."""

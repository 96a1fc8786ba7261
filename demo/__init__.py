"""Show the whole path at work: `make demo`."""

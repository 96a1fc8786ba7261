"""Benchmarks; run them with `make bench`."""

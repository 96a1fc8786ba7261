"""Tests; run them all with `make unit`."""

"""Shared parts of the review's cases: real nodes against stand-ins of the platform."""

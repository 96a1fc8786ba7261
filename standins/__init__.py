"""Stand-ins for the outside systems, for tests and the demo only."""

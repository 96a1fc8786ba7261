"""Stand-ins (test doubles) for external systems, used only by tests, benchmarks and the demo."""

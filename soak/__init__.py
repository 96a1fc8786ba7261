"""A randomized fault soak: real processes, faults from outside, promises checked meanwhile."""

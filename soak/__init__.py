"""Randomized soak test: real instance processes under injected faults."""

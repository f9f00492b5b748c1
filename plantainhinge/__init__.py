"""A scheduler for latency-critical services and batch work on one shared fleet."""

"""Request routing: load balancing, limits, admission control and retries."""

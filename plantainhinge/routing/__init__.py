"""The request path: target choice, limits, admission and retries."""

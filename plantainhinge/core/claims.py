"""Bounds on the keys of non-idempotent requests, agreed by gateways and ledgers."""

CLAIM_WINDOW_SECONDS = 600.0

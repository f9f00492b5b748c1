"""Limits of idempotency keys, which gateways and ledgers must agree on."""

CLAIM_WINDOW_SECONDS = 600.0

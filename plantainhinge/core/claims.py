"""Limits of idempotency keys, which gateways and ledgers must agree on.

Keys older than the window are refused, so that ledgers can discard their claims.
"""

CLAIM_WINDOW_SECONDS = 600.0

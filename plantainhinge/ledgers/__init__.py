"""Replayed state of ledger partitions and cells."""

"""Thin adapters to the platform, workers, targets, callers and peers."""

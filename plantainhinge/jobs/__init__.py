"""Batch jobs of several steps: what callers submit, and its stored progress."""

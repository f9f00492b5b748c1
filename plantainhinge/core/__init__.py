"""Ids, states, records, messages and interfaces shared by every layer."""

"""Identifiers, states, records, messages and interfaces shared by every layer."""

"""Policies that pick where a task runs and what gives way."""

"""Policies that choose where tasks run and which attempts are preempted."""

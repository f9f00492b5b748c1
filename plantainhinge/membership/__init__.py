"""Gossip membership: which daemons are believed to be alive."""

"""Decisions of a cell's owner: what runs where, without a network or a clock."""

"""Scheduling decisions of a cell's owner, without network access or a clock."""

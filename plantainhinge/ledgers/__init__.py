"""State of ledger partitions and cells, rebuilt by replaying their streams."""

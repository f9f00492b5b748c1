"""Client side of the platform's log: proposing, reading and replaying records."""

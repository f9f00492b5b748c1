"""The log client: proposing, reading back and replaying records."""

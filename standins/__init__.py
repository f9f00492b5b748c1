"""Stand-ins for the platform, workers, targets and callers, for tests and demos."""

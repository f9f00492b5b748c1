"""Small servers that take the place of the platform, workers and targets."""

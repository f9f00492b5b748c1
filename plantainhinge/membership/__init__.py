"""Which daemons and instances are believed to be alive."""

"""The gateway and scheduler daemons."""

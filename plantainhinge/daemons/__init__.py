"""The long-running processes: gateway, scheduler and instance daemon."""

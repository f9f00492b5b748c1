"""A randomized soak: real instances as processes, with faults from outside."""

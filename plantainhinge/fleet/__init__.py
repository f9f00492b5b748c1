"""Workers and the platform as seen by the owner of a cell: data model and protocols."""

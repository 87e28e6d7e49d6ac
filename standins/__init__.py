"""Stand-ins for the systems around the tier, for tests and the demo; not part of the package."""

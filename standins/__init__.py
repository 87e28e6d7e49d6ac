"""Stand-ins for the systems around the tier; never part of the package."""

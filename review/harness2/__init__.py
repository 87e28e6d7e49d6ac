"""Stand-ins for the cases of the second review; standard library only."""

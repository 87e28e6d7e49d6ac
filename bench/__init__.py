"""Load generator and performance experiments."""

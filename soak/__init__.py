"""Fault soak: runs gateway processes, injects faults from outside, and checks their guarantees."""

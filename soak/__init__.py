"""Fault soak: real gateway processes, faults from outside, and the promises checked meanwhile."""

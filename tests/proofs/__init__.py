"""Tests of the documented invariants against clusters of real processes."""

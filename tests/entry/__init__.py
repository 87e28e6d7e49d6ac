"""Tests of flamingostack.entry."""

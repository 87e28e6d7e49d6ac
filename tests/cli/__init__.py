"""Tests of flamingostack.cli."""

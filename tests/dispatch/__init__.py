"""Tests of flamingostack.dispatch."""

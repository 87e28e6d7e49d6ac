"""Tests of flamingostack.fleet."""

"""Tests of flamingostack.platform."""

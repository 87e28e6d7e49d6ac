"""Tests of flamingostack.control."""

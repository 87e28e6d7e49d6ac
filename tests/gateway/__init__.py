"""Tests of flamingostack.gateway."""

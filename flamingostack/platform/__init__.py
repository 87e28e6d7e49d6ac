"""Adapter between the platform's formats and the gateway's own types; holds no decisions."""

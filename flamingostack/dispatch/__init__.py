"""The process that owns targets."""

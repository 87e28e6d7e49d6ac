"""The control process."""

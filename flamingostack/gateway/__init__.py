"""The gateway process: one on each instance, between callers and the targets of the platform."""

"""The dispatch process: sends sub-requests to the targets that are granted to it."""

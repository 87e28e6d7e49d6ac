"""Stand-ins of the platform, searchers and requesters for the scripts of the review.

They use the standard library only.
"""

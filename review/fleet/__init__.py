"""Stand-ins of the platform, servers and requesters for the cases of this review.

They use the standard library only.
"""

"""Stand-ins for the review's scripts: the platform's store, its workers, callers, and the daemons.

Only the Python standard library is used. Everything listens on loopback addresses.
"""

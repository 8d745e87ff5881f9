"""A node on a platform whose store holds all durable state.

The store holds the newest record of each key, so a node needs no log of its own, no snapshots and
no leader election: it follows a few topics, and nodes forward records to those that cannot reach
the store.
"""

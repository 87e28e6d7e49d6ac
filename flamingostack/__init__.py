"""A query tier between callers and back ends of many shards."""

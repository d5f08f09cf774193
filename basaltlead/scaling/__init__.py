"""Fleet scaling of a shard: scale-out, scale-in and the state of its machines."""

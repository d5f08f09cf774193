"""The controller's side of a shard: its leader, and the parts that the leader runs."""

"""The leader of a shard, and the components that it runs."""

"""Stand-ins for the second review: key-value store, cloud, machines, users and the platform."""

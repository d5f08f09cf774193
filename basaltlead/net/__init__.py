"""HTTP, netstrings and the limit on concurrent requests."""

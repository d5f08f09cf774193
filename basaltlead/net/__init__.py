"""HTTP, netstrings and the limit on requests in progress."""

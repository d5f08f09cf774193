"""Clients for the key-value store, the cloud and the workers."""

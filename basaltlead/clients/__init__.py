"""Clients of the cloud and the workers, and what all clients share."""

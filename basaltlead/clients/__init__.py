"""Clients for the state service, the cloud and the workers."""

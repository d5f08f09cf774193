"""basaltlead: a cluster scheduler that shares a rented fleet by auction."""

__version__ = "0.1.0"

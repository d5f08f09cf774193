"""Message types of each interface; only this package knows the names on the wire."""

"""Message types of each interface; names on the wire are defined only in this package."""

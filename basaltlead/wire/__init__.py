"""Message types of each interface: the only home of the names on the wire."""

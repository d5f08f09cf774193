"""The key-value store: client, stored records, and their layout."""

"""The independent review: its cases and their stand-ins."""

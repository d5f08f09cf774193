"""The operators' commands and their client."""

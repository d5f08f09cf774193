"""The scheduling core: it does no input or output and has no clock of its own."""

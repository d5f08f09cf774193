"""The scheduling core: no input, no output, no clock of its own."""

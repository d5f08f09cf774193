"""Settings of a controller, from the platform's file and the operators' file."""

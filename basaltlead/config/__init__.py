"""Settings of a controller: the platform's file and the operators' file."""

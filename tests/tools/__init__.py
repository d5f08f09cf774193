"""Programs that measure or exercise a deployment; they are no tests, and are run by hand."""

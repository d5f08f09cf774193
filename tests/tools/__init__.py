"""Programs that measure or exercise a deployment. They are not tests and are run by hand."""

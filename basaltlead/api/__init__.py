"""The HTTP interface of a controller: users' requests, heartbeats and the health check."""

"""The HTTP interface that a controller offers to users."""

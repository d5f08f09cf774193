"""Runtime support: clocks, logging and supervised background tasks."""

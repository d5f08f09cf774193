"""What every long-running part uses: clocks, logging, supervised background tasks."""

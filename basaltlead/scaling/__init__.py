"""How many machines a shard needs: scale-out, scale-in and what is known of the machines."""

"""The machines of a shard."""

# Names of machines that are gone, or hired, are kept for as long as lists and late reports may
# show them. Three fleets of 6,000: some 2 MB.
NAMES_KEPT = 18_000

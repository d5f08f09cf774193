"""The rent, return, reclaim and clean-up duties, each with one fenced holder (docs/duties.md)."""

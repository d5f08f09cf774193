"""Renting, returning, reclaiming and clean-up, each by one fenced holder (docs/duties.md)."""

"""Membership, leader election and messages among the controllers."""

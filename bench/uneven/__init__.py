"""Servers of uneven and changing speed: concurrency limits and load balancing."""

"""Runs the real programs as processes and injects faults around them."""

"""Runs the real programs as processes while faults come from outside them."""

"""Adapters to the platform's key-value service, host list and weight store."""

"""Adapters to the platform: key-value service, host list, weight store."""

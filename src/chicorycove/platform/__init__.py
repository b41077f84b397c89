"""The adapter to the users' platform: it translates, without decisions."""

"""Stand-ins for what the platform gives: small fakes at its interfaces."""

"""Stand-ins: small fakes of the platform's services and of its targets."""

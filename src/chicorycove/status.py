"""Classes of HTTP status codes (RFC 9110, section 15)."""

INTERIM_STATUSES = range(100, 200)  # of answers that precede the final one
FINAL_STATUSES = range(200, 600)

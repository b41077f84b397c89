"""Reasons why requests are refused, retried or failed.

Problem documents, logs and metrics carry the values of these reasons.
"""

import enum


class Reason(enum.Enum):
    """The reason for a refusal, a retry or a failure."""

    # The caller's request is invalid or not permitted.
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE_PAST = "deadline_past"
    PROMPT_TOO_LONG = "prompt_too_long"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"

    # An operator's request is invalid or conflicts with the catalogue.
    CONFLICT = "conflict"
    INVALID_CATALOGUE = "invalid_catalogue"
    UNKNOWN_ENTRY = "unknown_entry"

    # Capacity, a limit or a dependency does not allow the request now.
    DEADLINE_INFEASIBLE = "deadline_infeasible"
    QUEUE_FULL = "queue_full"
    MEMORY_FULL = "memory_full"
    LIMIT_REQUESTS = "limit_requests"
    LIMIT_TOKENS = "limit_tokens"
    LIMIT_MEMORY = "limit_memory"
    NO_TARGET = "no_target"
    SERVICE_EVACUATED = "service_evacuated"  # all its targets are evacuated
    REQUEST_QUARANTINED = "request_quarantined"  # such requests crash targets
    TARGET_LIMIT = "target_limit"  # no target takes more requests now
    BUFFERS_FULL = "buffers_full"  # most was held for this caller
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    STORE_DOWN = "store_down"
    RETRY_BUDGET = "retry_budget"

    # The agent refused the attempt.
    TARGET_LEAVING = "target_leaving"
    ATTEMPT_SEALED = "attempt_sealed"
    ATTEMPT_DUPLICATE = "attempt_duplicate"
    ATTEMPT_EXPIRED = "attempt_expired"
    STALE_INCARNATION = "stale_incarnation"
    RESERVATION_LOST = "reservation_lost"

    # The attempt failed or was interrupted.
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_FAILED = "target_failed"
    LINK_DOWN = "link_down"  # nothing was sent
    LINK_LOST = "link_lost"
    STREAM_BROKEN = "stream_broken"
    ANSWER_TOO_LARGE = "answer_too_large"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL_ERROR = "internal_error"  # an unexpected exception in this process
    CALLER_GONE = "caller_gone"
    CLAIM_UNSETTLED = "claim_unsettled"
    RESULT_NOT_KEPT = "result_not_kept"

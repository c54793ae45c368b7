"""Maps result codes to HTTP statuses."""

from gooseberrylink.codes import Code, ExecutionStatus

_HTTP_STATUS = {
    Code.OK: 200,
    Code.MALFORMED_JOB: 400,
    Code.UNKNOWN_CUSTOMER: 403,
    Code.UNKNOWN_SERVICE: 404,
    Code.TOO_MANY_TASKS: 422,
    Code.IDEMPOTENCY_KEY_MISSING: 422,
    Code.DEADLINE_INVALID: 422,
    Code.BODY_TOO_LARGE: 413,
    Code.BODY_TOO_SLOW: 408,
    Code.DUPLICATE_JOB_ID: 409,
    Code.UNKNOWN_QUEUE: 404,
    Code.OVER_QUOTA: 429,
    Code.EXPIRED_NOT_RUN: 504,
    Code.EXPIRED_RAN: 504,
    Code.EXPIRED_MAY_HAVE_RUN: 504,
    Code.CLAIMED_ELSEWHERE: 409,
}


def http_status(code: Code) -> int:
    """Returns the HTTP status for a result code."""
    if code in _HTTP_STATUS:
        return _HTTP_STATUS[code]
    return 503 if code.execution_status is ExecutionStatus.NOT_RUN else 502

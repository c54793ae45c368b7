"""Validates the jobs that callers submit and formats their answers."""

from typing import Annotated, Any

import msgspec
import pydantic
from pydantic import Field

from gooseberrylink.codes import Code
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.types import Answer, JobRequest, TaskSpec
from gooseberrylink.yaml_file import StrictModel

_DEFAULT_DEADLINE_S = 30.0
_MAX_ERRORS = 5


class TaskModel(StrictModel):
    """One task of a job.

    Attributes:
        payload: Any JSON value; passed to the backend server unchanged.
        declared_s: Run time that the caller expects, in seconds; 0 if unknown.
    """

    payload: Any = None
    declared_s: Annotated[float, Field(ge=0, le=86_400)] = 0.0

    @pydantic.field_validator("payload")
    @classmethod
    def _check_encodable(cls, payload: Any) -> Any:
        """Refuses what no frame to an agent can carry, such as integers over 2**64."""
        try:
            msgspec.msgpack.encode(payload)
        except (OverflowError, RecursionError, TypeError, ValueError) as error:
            raise ValueError(f"the payload can't be encoded: {error}") from None
        return payload


class JobModel(StrictModel):
    """A job as callers write it, in JSON or YAML.

    Attributes:
        deadline_s: Seconds from submission within which the answer is useful; None
            for the default of the service.
        repeatable: Whether a job whose answer was lost may run again when it is
            resubmitted.
        job_id: Id that the caller chooses and can cancel the job by.
    """

    customer: Annotated[str, Field(min_length=1, max_length=64)]
    service: Annotated[str, Field(min_length=1, max_length=64)]
    tasks: Annotated[list[TaskModel], Field(min_length=1)]
    deadline_s: float | None = None
    repeatable: bool = True
    job_id: Annotated[str, Field(max_length=128)] = ""


class ConfigurationModel(StrictModel):
    """A configuration that the platform has accepted, as the operator sends it.

    Attributes:
        version: Its version in the platform's table.
        text: The declarations in canonical form.
    """

    version: Annotated[int, Field(ge=1, le=2**53)]
    text: str


def parse_job(
    body: bytes, idempotency_key: str, configuration: Configuration
) -> JobRequest:
    """Parses the body of a submission.

    Raises:
        RefusedError: The body is not a valid job.
    """
    try:
        model = JobModel.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise RefusedError(Code.MALFORMED_JOB, format_errors(error)) from None
    return to_job_request(model, idempotency_key, configuration)


def to_job_request(
    model: JobModel, idempotency_key: str, configuration: Configuration
) -> JobRequest:
    """Converts a validated job to a request.

    Raises:
        RefusedError: deadline_s is not above 0, so the deadline has passed.
    """
    deadline_s = model.deadline_s
    if deadline_s is None:
        service = configuration.service(model.service)
        deadline_s = service.default_deadline_s if service else _DEFAULT_DEADLINE_S
    if not deadline_s > 0:
        detail = (
            f"deadline_s is {deadline_s:g}, so the deadline has passed: expected more"
            " than 0"
        )
        raise RefusedError(Code.DEADLINE_INVALID, detail)
    return JobRequest(
        customer=model.customer,
        service=model.service,
        tasks=[TaskSpec(task.payload, task.declared_s) for task in model.tasks],
        deadline_s=deadline_s,
        repeatable=model.repeatable,
        idempotency_key=idempotency_key,
        job_id=model.job_id,
    )


def answer_body(answer: Answer) -> dict[str, Any]:
    """Returns the body of the response to a job, ready for JSON."""
    body: dict[str, Any] = {"code": int(answer.code), "name": answer.code.name}
    if answer.code is Code.OK:
        body["results"] = answer.results
        return body
    body["ran"] = answer.execution_status.value
    body["detail"] = answer.detail
    if answer.retry_after_s is not None:
        body["retry_after_s"] = round(answer.retry_after_s, 3)
    return body


def format_errors(error: pydantic.ValidationError) -> str:
    """Returns the first few errors, each with its field, for a caller."""
    return "; ".join(_format_error(item) for item in error.errors()[:_MAX_ERRORS])


def _format_error(error: dict) -> str:
    where = ".".join(str(part) for part in error["loc"]) or "body"
    return f"{where}: {error['msg']}"

"""Messages between users and controllers."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from basaltlead.wire.names import PROTOCOL_NAMES

REF = r"^req-[0-9]{6,15}\Z"

Text = Annotated[str, Meta(min_length=1, max_length=100)]
Positive = Annotated[float, Meta(gt=0, le=1e6)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class Submission(Struct, frozen=True, rename=PROTOCOL_NAMES):
    """A job as submitted by a user. Sizes are per task, durations in seconds."""

    ref: Annotated[str, Meta(pattern=REF)]
    job_class: Text
    team: Text
    shape: Literal["batch", "group", "service"]
    rank: Literal["production", "high", "standard", "best_effort"]
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Text
    image_gb: Amount
    one_zone: bool
    spread_zones: bool
    spot: bool
    estimated_run_s: Amount
    checkpoint_interval_s: Amount
    checkpoint_duration_s: Amount
    types: list[Text] | None = None
    zone: Text | None = None
    due_s: Amount | None = None


class JobStatusResponse(Struct, rename=PROTOCOL_NAMES):
    """The state of a job, with the numbers of its tasks that are done and running."""

    ref: str
    stage: str
    done: int = 0
    running: int = 0


class ErrorBody(Struct):
    """The body of an error response: why the request was not executed."""

    error: str

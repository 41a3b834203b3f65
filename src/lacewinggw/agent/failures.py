"""Classification of failed chunk requests, and the reason their retries are counted under."""

from lacewinggw.decisions.chunksources import FetchFailure, Neighbour, Source
from lacewinggw.errors import (
    CorruptChunk,
    LacewingError,
    LinkBusy,
    PlatformThrottled,
    TimedOut,
    WeightsError,
)
from lacewinggw.metrics import RetryReason


def classify_failure(error: LacewingError) -> FetchFailure:
    """Return which kind of failure of a chunk's source an error is."""
    match error:
        case CorruptChunk():
            return FetchFailure.CORRUPT
        case LinkBusy() | PlatformThrottled():
            return FetchFailure.BUSY
        case TimedOut():
            return FetchFailure.STALLED
        case WeightsError():
            return FetchFailure.REFUSED
        case _:
            return FetchFailure.LOST


def retry_reason(source: Source, failure: FetchFailure) -> RetryReason:
    """Return the reason under which the retry of a chunk is counted."""
    match failure:
        case FetchFailure.CORRUPT:
            return RetryReason.CHUNK_CORRUPT
        case FetchFailure.STALLED:
            return RetryReason.CHUNK_STALLED
        case FetchFailure.BUSY:
            return RetryReason.SOURCE_BUSY
        case FetchFailure.LOST | FetchFailure.REFUSED:
            if isinstance(source, Neighbour):
                return RetryReason.SOURCE_LOST
            return RetryReason.ORIGIN_FAILED

"""Names under which versions of a model's weights are distributed as releases."""

from lacewinggw.ids import Digest, ModelName

SEPARATOR = "@"


def release_of(model: ModelName, version: int) -> Digest:
    """Return the name of the release that a version is distributed as.

    >>> release_of(ModelName("market"), 7)
    'market@7'
    """
    return Digest(f"{model}{SEPARATOR}{version}")


def split_release(release: Digest) -> tuple[ModelName, int]:
    """Return the model and the version that a release name consists of."""
    model, _, version = release.rpartition(SEPARATOR)
    return ModelName(model), int(version)

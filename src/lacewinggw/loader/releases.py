"""The name of a version of a model's weights, as a release of the spread."""

from lacewinggw.ids import Digest, ModelName

SEPARATOR = "@"


def release_of(model: ModelName, version: int) -> Digest:
    """Return the identity of a version in the spread.

    >>> release_of(ModelName("market"), 7)
    'market@7'
    """
    return Digest(f"{model}{SEPARATOR}{version}")


def split_release(release: Digest) -> tuple[ModelName, int]:
    """Return the model and the version that a release stands for."""
    model, _, version = release.rpartition(SEPARATOR)
    return ModelName(model), int(version)

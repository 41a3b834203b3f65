"""What may crash a target: a whole request, or a part of its prompt that other requests share.

Both have one kind of id, so that crashes and quarantines are recorded for either in the same way.
"""

import hashlib

from lacewinggw.ids import ContentId, ModelName, PromptPartId

MAX_MODEL_CHARS = 64  # ids are keys in the store, whose length is limited
MODEL_DIGEST_BYTES = 12
PART_PREFIX = "part:"  # the digest of a request is hexadecimal, so no request has such an id


def make_part_content(model: ModelName | None, part: PromptPartId) -> ContentId:
    """Return the id of a prompt part; another model may not crash on the same part.

    >>> make_part_content(ModelName("market"), PromptPartId("91bd3f06"))
    'part:market:91bd3f06'
    """
    name = model or ""
    if len(name) > MAX_MODEL_CHARS:
        name = hashlib.blake2b(name.encode(), digest_size=MODEL_DIGEST_BYTES).hexdigest()
    return ContentId(f"{PART_PREFIX}{name}:{part}")


def is_part(content: ContentId) -> bool:
    """Return whether a content is a part of prompts, not a whole request."""
    return content.startswith(PART_PREFIX)


def scope_of(part: ContentId) -> str:
    """Return what the ids of all parts for the same model begin with.

    >>> scope_of(ContentId("part:market:91bd3f06"))
    'part:market:'
    """
    return part[: part.rindex(":") + 1]

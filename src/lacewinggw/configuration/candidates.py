"""The entries in the membership list, as candidates for the selection of upstreams."""

from collections.abc import Iterable

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.decisions.peerselection import Candidate


def entry_candidates(members: Iterable[Member]) -> list[Candidate]:
    """Return every listed entry, including leaving ones: they still hold the configuration."""
    return [
        Candidate(member.host, member.place, member.address)
        for member in members
        if member.role is MemberRole.ENTRY
    ]

"""The entries on the list of hosts, as the choices of whom to hear news from need them."""

from collections.abc import Iterable

from lacewinggw.clients.membership import Member, MemberRole
from lacewinggw.decisions.peerselection import Candidate


def entry_candidates(members: Iterable[Member]) -> list[Candidate]:
    """Return every listed entry, leaving ones too: those know the configuration as well."""
    return [
        Candidate(member.host, member.place, member.address)
        for member in members
        if member.role is MemberRole.ENTRY
    ]

"""An agent with one part exchanged: another way to spread, or a source that corrupts what it sends.

Usage:
  variant --settings=FILE [--baseline=NAME] [--corrupt]
"""

import asyncio
import sys

from docopt import docopt

from lacewinggw.agent.process import AgentProcess
from lacewinggw.agent.uploads import Uploader
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Digest, HostId
from lacewinggw.lab.baselines import Baseline, BaselinePlan, make_baseline_spread
from lacewinggw.lab.weights import flip_byte
from lacewinggw.log import configure_process_log
from lacewinggw.service import run_until_signalled
from lacewinggw.settings import load_settings


def corrupt_uploads(uploader: Uploader) -> None:
    """Have every chunk sent with a byte inverted; what the host itself loads stays as it is."""
    find = uploader.find_chunk

    def find_corrupt(digest: Digest, index: int) -> bytes | None:
        data = find(digest, index)
        return None if data is None else flip_byte(data, len(data) // 2)

    uploader.find_chunk = find_corrupt


def make_agent(settings: Settings, baseline: str | None, corrupt: bool) -> AgentProcess:
    """Return an agent with the part exchanged."""
    agent = AgentProcess.from_config(settings)
    if baseline:
        chosen = Baseline(baseline)
        plan = BaselinePlan(chosen, settings.spread.neighbours)
        me = HostId(settings.process.host)
        agent.spreader.use_policy(plan, make_baseline_spread(chosen, me))
    if corrupt:
        corrupt_uploads(agent.spreader.uploader)
    return agent


async def run(settings: Settings, baseline: str | None, corrupt: bool) -> None:
    """Run the agent until a signal asks it to leave."""
    agent = make_agent(settings, baseline, corrupt)
    configure_process_log(settings.process, "agent", agent.incarnation)
    await run_until_signalled(agent.start, agent.drain, agent.close)


def main() -> int:
    """Run with the options of the command line."""
    options = docopt(__doc__ or "")
    settings = load_settings(options["--settings"], ("process", "platform", "agent"))
    asyncio.run(run(settings, options["--baseline"], bool(options["--corrupt"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())

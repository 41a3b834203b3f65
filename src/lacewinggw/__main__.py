"""Run the command line as `python -m lacewinggw`."""

import sys

from lacewinggw.cli import main

sys.exit(main())

"""Entry point of `python3 -m basaltlead`."""

import sys

from basaltlead.cli import main

sys.exit(main())

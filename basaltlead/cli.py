"""The command line: `basaltlead serve`, and the operators' commands.

Each command imports only the modules that it needs, to keep the start of a controller short.
"""

import argparse
import gc
import sys

from basaltlead import __version__
from basaltlead.operators import arguments

SERVE = "serve"
BAD_SETTINGS = 2  # exit status; argparse uses the same for an invalid command line


def parser() -> argparse.ArgumentParser:
    """Create the parser of the command line: `serve` and the operators' commands."""
    top = argparse.ArgumentParser(prog="basaltlead", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"basaltlead {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True, metavar="VERB")
    serve = verbs.add_parser(SERVE, help="run one controller until it is killed")
    serve.add_argument("--operator", metavar="FILE", help="the operators' own settings (YAML)")
    serve.add_argument("--config", metavar="FILE", required=True, help="the platform's TOML file")
    arguments.add_to(verbs)
    return top


def main(argv: list[str] | None = None) -> int:
    """Run a command, and return its exit status."""
    options = parser().parse_args(argv)
    if options.verb == SERVE:
        return _serve(options.config, options.operator)
    from basaltlead.operators import commands

    return commands.run(options)


def _serve(config: str, operator: str | None) -> int:
    """Run a controller until it is killed, and return the exit status."""
    from basaltlead.config.loader import load
    from basaltlead.errors import SettingsError

    try:
        settings = load(config, operator)
    except SettingsError as error:
        print(f"basaltlead: {error}", file=sys.stderr)
        return BAD_SETTINGS
    # Objects allocated by imports are never freed, so garbage collection would only slow the start.
    gc.disable()
    from basaltlead import controller
    from basaltlead.runtime import logs

    gc.enable()
    logs.configure_logging()
    return controller.serve(settings)

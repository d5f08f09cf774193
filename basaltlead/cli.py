"""The command line: `basaltlead serve`, and the operators' commands.

Modules are imported where a command needs them: controllers pay for every import at their start.
"""

import argparse
import gc
import sys

from basaltlead import __version__
from basaltlead.operators import arguments

SERVE = "serve"
BAD_SETTINGS = 2  # the exit status, which is also that of a wrong command line


def parser() -> argparse.ArgumentParser:
    """The parser of the command line: `serve` and the operators' commands."""
    top = argparse.ArgumentParser(prog="basaltlead", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"basaltlead {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True, metavar="VERB")
    serve = verbs.add_parser(SERVE, help="run one controller until it is killed")
    serve.add_argument("--operator", metavar="FILE", help="the operators' own settings (YAML)")
    serve.add_argument("--config", metavar="FILE", required=True, help="the platform's TOML file")
    arguments.add_to(verbs)
    return top


def main(argv: list[str] | None = None) -> int:
    """Run the command line; the exit status."""
    options = parser().parse_args(argv)
    if options.verb == SERVE:
        return _serve(options.config, options.operator)
    from basaltlead.operators import commands

    return commands.run(options)


def _serve(config: str, operator: str | None) -> int:
    """Run a controller until it is killed; the exit status."""
    from basaltlead.config.loader import load
    from basaltlead.errors import SettingsError

    try:
        settings = load(config, operator)
    except SettingsError as fault:
        print(f"basaltlead: {fault}", file=sys.stderr)
        return BAD_SETTINGS
    # What imports allocate stays: passes of the garbage collector would only prolong the start.
    gc.disable()
    from basaltlead import controller
    from basaltlead.runtime import logs

    gc.enable()
    logs.configure_logging()
    return controller.serve(settings)

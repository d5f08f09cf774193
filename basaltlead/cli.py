"""The command line: `basaltlead serve`, and the operators' commands."""

import argparse
import sys

from basaltlead import __version__


def parser() -> argparse.ArgumentParser:
    """The command line: `serve` with the settings files, and what operators ask."""
    top = argparse.ArgumentParser(prog="basaltlead", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"basaltlead {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True, metavar="VERB")
    serve = verbs.add_parser("serve", help="run one controller until it is killed")
    serve.add_argument("--operator", metavar="FILE", help="the operators' own settings (YAML)")
    serve.add_argument("--config", metavar="FILE", required=True, help="the platform's TOML file")
    from basaltlead.operators import commands

    commands.add_to(verbs)
    return top


def main(argv: list[str] | None = None) -> int:
    """Run the command line; its exit status."""
    options = parser().parse_args(argv)
    if options.verb != "serve":
        from basaltlead.operators import commands

        return commands.run(options)
    from basaltlead.config.settings import load
    from basaltlead.errors import SettingsError

    try:
        settings = load(options.config, options.operator)
    except SettingsError as fault:
        print(f"basaltlead: {fault}", file=sys.stderr)
        return 2
    from basaltlead import controller
    from basaltlead.runtime import logs

    logs.set_up()
    return controller.serve(settings)

"""Starts basaltlead from a checkout, with its libraries and byte-code under target/.

`run.py --precompile` is the build step; any other arguments are those of the command line.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
# Controllers may write only to /tmp, and pay for every millisecond of their start: the build step
# compiles everything once, and the service only reads it.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[0:0] = [str(ROOT), str(ROOT / "target" / "deps")]


def precompile() -> int:
    """Write the byte-code of the package, its libraries, and the part of the standard library that
    a controller uses; the exit status."""
    import compileall
    from importlib import import_module

    # The build's environment may forbid byte-code. Each start would then compile that part of the
    # standard library anew, which took half a second of a controller's third of a core.
    sys.dont_write_bytecode = False
    done = True
    for folder in (ROOT / "basaltlead", ROOT / "target" / "deps"):
        done = compileall.compile_dir(folder, quiet=2) and done
    # An import writes the byte-code of a module, and of all that it imports, under the prefix:
    # these are what `serve` imports.
    for module in ("basaltlead.cli", "basaltlead.config.loader", "basaltlead.controller"):
        import_module(module)
    return 0 if done else 1


if __name__ == "__main__":
    if sys.argv[1:] == ["--precompile"]:
        sys.exit(precompile())
    sys.dont_write_bytecode = True
    from basaltlead.cli import main

    sys.exit(main())

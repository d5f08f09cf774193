"""Runs basaltlead from a checkout, with its libraries and bytecode under target/.

`run.py --precompile` is the build step; any other arguments are passed to the command line.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
# The build step compiles all modules once, and the service only reads the bytecode: controllers may
# write only to /tmp, and their start must be short.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[0:0] = [str(ROOT), str(ROOT / "target" / "deps")]


def precompile() -> int:
    """Write the bytecode of the package, its libraries, and the part of the standard library that a
    controller uses. Returns the exit status."""
    import compileall
    from importlib import import_module

    # The build environment may disable writing bytecode. Every start would then compile that part
    # of the standard library again, which takes 0.5 s with the third of a core that a controller
    # has.
    sys.dont_write_bytecode = False
    done = True
    for folder in (ROOT / "basaltlead", ROOT / "target" / "deps"):
        done = compileall.compile_dir(folder, quiet=2) and done
    # Importing a module writes the bytecode of it and of all its imports under the prefix; `serve`
    # imports these modules.
    for module in ("basaltlead.cli", "basaltlead.config.loader", "basaltlead.controller"):
        import_module(module)
    return 0 if done else 1


if __name__ == "__main__":
    if sys.argv[1:] == ["--precompile"]:
        sys.exit(precompile())
    sys.dont_write_bytecode = True
    from basaltlead.cli import main

    sys.exit(main())

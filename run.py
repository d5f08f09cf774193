"""Starts basaltlead from a checkout, with its libraries and byte-code under target/."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
# Controllers may write nothing beside /tmp and pay for every millisecond of their start,
# so the build step compiles everything once and the service only reads.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[0:0] = [str(ROOT), str(ROOT / "target" / "deps")]


def precompile() -> int:
    """Write the byte-code of the package, its libraries and the standard library's part we use."""
    import compileall

    # The build's environment may forbid byte-code: each start would then compile the standard
    # library's part anew, which took half a second of a controller's third of a core.
    sys.dont_write_bytecode = False
    done = True
    for folder in (ROOT / "basaltlead", ROOT / "target" / "deps"):
        done = compileall.compile_dir(folder, quiet=2) and done
    import asyncio  # noqa: F401  (imported for its byte-code, which lands under the prefix)

    from basaltlead import (
        controller,  # noqa: F401
    )

    return 0 if done else 1


if __name__ == "__main__":
    if sys.argv[1:] == ["--precompile"]:
        sys.exit(precompile())
    sys.dont_write_bytecode = True
    from basaltlead.cli import main

    sys.exit(main())

"""The build step: it precompiles bytecode under target/, so that controllers start faster."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_precompile_writes_byte_code_although_the_environment_disables_it(tmp_path: Path) -> None:
    """Otherwise every start would compile the modules of the standard library again."""
    shutil.copy(ROOT / "run.py", tmp_path)
    shutil.copytree(ROOT / "basaltlead", tmp_path / "basaltlead")
    env = os.environ | {"PYTHONDONTWRITEBYTECODE": "1"}
    subprocess.run(
        [sys.executable, "run.py", "--precompile"], cwd=tmp_path, env=env, check=True, timeout=120
    )
    written = {path.name.partition(".")[0] for path in tmp_path.rglob("target/pycache/**/*.pyc")}

    assert {"base_events", "controller", "leader"} <= written

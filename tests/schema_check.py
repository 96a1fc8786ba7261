"""Check that the committed generated code and settings page match the schema."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from pumicespur.config._reference import settings_reference

ROOT = Path(__file__).parent.parent
SHIPPED = ROOT / "pumicespur" / "schema"


def main() -> int:
    """Generate into a temporary folder and compare; return the exit status."""
    protos = [str(path.name) for path in sorted((ROOT / "schema").glob("*.proto"))]
    shipped = [name for name in protos if name != "standins.proto"]
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "grpc_tools.protoc", "-Ischema"]
        command += [f"--py_out={folder}", f"--connectrpc_out={folder}", *shipped]
        bin_folder = str(Path(sys.executable).parent)
        subprocess.run(command, cwd=ROOT, check=True, env={"PATH": f"{bin_folder}:/usr/bin:/bin"})
        stale = [
            path.name
            for path in sorted(Path(folder).glob("*.py"))
            if path.read_text() != _committed(path.name)
        ]
    page = ROOT / "docs" / "operate" / "settings.md"
    if page.read_text() != settings_reference():
        stale.append(page.name)
    for name in stale:
        print(f"schema: {name} does not match the schema; run `make schema`")
    return 1 if stale else 0


def _committed(name: str) -> str:
    path = SHIPPED / name
    return path.read_text() if path.exists() else ""


if __name__ == "__main__":
    sys.exit(main())

"""Generates flamingostack/generated/settings.py and preset.py from their JSON schemas."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--base-class=flamingostack.strict.StrictStruct",
    "--target-python-version=3.11",
    "--use-union-operator",
    "--use-standard-collections",
    "--use-annotated",
    "--use-default-kwarg",
    "--use-schema-description",
    "--enum-field-as-literal=all",
    "--disable-timestamp",
    "--formatters=builtin",
)


def generate(name: str) -> None:
    """Generate one module and remove msgspec's UNSET marker from fields that have a default."""
    output = ROOT / "flamingostack" / "generated" / f"{name}.py"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "datamodel_code_generator",
            f"--input={ROOT / 'schema' / f'{name}.schema.json'}",
            f"--output={output}",
            *OPTIONS,
        ],
        check=True,
    )
    text = re.sub(r"\s*\| UnsetType\b", "", output.read_text())
    output.write_text(text.replace("Meta, UnsetType", "Meta"))


if __name__ == "__main__":
    for module in ("settings", "preset"):
        generate(module)

"""Runs a process of the tier with one mechanism switched off.

A proof that passes must fail when the mechanism it proves is off. The product has no switches for
that, so this module replaces the mechanism in the process that it runs:

    python -m tests.proofs.mutants no-fence flamingostack.dispatch --settings a.toml
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable


def remove_fence() -> None:
    """Let dispatch write a body without the check of claim, lease, mark and deadline."""
    from flamingostack.dispatch.target import Target

    Target.find_refusal = lambda self, work: ""


MUTANTS: dict[str, Callable[[], None]] = {
    "no-fence": remove_fence,
}


def main(arguments: list[str]) -> None:
    """Apply the named mutant, then run the module with the remaining arguments."""
    name, module, *rest = arguments
    MUTANTS[name]()
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])

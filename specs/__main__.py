"""Checks all specifications and their mutants; writes docs/SPECS.md."""

from pathlib import Path

from specs.run import ALL_SPECS, explore

PAGE = Path(__file__).parent.parent / "docs" / "SPECS.md"
INTRODUCTION = """# Specifications

Written by `python -m specs`: each specification in `specs/` is explored exhaustively
by `minicheck`; each mutant breaks one rule and must yield a counterexample. Messages
stay in the network in every specification, so they come late, twice, crossed or never.
"""


def main():
    """Check everything, and print and write the table of results."""
    lines = [INTRODUCTION, "| specification | mutant | states | result |"]
    lines.append("| --- | --- | --- | --- |")
    for module in ALL_SPECS:
        for mutant in ("", *module.MUTANTS):
            found = explore(module, mutant)
            result = "holds"
            if found.violated:
                result = f"caught in {found.steps} steps: {found.violated}"
            if found.liveness_failure:
                result = f"trap: {found.liveness_failure}"
            if not found.exhaustive and not found.violated:
                result = "NOT EXHAUSTIVE"
            name = module.__name__.removeprefix("specs.")
            lines.append(f"| {name} | {mutant or '-'} | {found.states} | {result} |")
            print(lines[-1], flush=True)
    PAGE.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()

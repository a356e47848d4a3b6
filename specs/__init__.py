"""Specifications of the core protocols, model-checked exhaustively by minicheck.

``python -m specs`` checks each specification and its mutants, prints the results and
writes them to docs/SPECS.md.
"""

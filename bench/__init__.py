"""Benchmarks; run each as ``python -m bench.NAME``. All use loopback only."""

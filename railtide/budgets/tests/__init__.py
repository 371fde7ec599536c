"""Tests of railtide.budgets."""

"""What must always hold, in words of an operator: one feature file for each property."""

from pytest_bdd import scenarios

scenarios(".")

"""The program that answers callers."""

"""The entry, which serves callers over HTTP."""

"""Reading from and appending to the platform's log."""

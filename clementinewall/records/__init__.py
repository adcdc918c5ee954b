"""What the platform's log holds, and the rules by which it is read."""

"""Client of the platform's log, and the control stream's follower."""

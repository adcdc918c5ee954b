"""What is known of streams, kept in the platform's store."""

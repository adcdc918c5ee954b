"""The origins of streams, kept in the platform's store."""

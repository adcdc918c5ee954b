"""Programs that measure: demo, proofs, slopes, relay and policy."""

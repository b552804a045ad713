"""Persistent state: the journal, snapshots and small files in `$LB_STATE`."""

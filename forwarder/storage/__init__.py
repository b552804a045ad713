"""What outlasts the process: the journal, snapshots and small files in `$LB_STATE`."""

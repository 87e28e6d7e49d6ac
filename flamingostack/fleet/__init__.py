"""Fleet state and its rules, without I/O."""

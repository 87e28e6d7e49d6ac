"""Fleet state and the rules that change it, without I/O."""

"""Translation between the users' platform and the gateway's own types; nothing is decided here."""

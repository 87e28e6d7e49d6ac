"""Base of the generated settings classes."""

import msgspec


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Struct that rejects unknown keys, so that a misspelt setting is an error."""

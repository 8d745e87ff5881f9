"""Decodes what targets state about themselves in the heads of their answers."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from ..calls.notice import TargetNotice
from ..validators import MAX_NUMBER
from .names import LEAVING_HEADER, LIMIT_HEADER

_DECIMAL = re.compile(rb"\d{1,32}(\.\d{1,32})?")


def decode_notice(fields: Mapping[bytes, bytes]) -> TargetNotice:
    """Return the statements in the headers of an answer, whose names are in lower case.

    A limit that is not a decimal number, or negative, is reported as invalid. It neither sets nor
    ends a limit: the target needs one, but states none that can be kept. A limit beyond any use is
    cut to the largest number that nodes exchange.
    """
    leaving = fields.get(LEAVING_HEADER, b"").strip() == b"1"
    value = fields.get(LIMIT_HEADER)
    if value is None:
        return TargetNotice(leaving=leaving)
    limit_per_s = float(value) if _DECIMAL.fullmatch(value.strip()) else math.nan
    if not math.isfinite(limit_per_s):
        return TargetNotice(limit_invalid=True, leaving=leaving)
    return TargetNotice(limit_per_s=min(limit_per_s, float(MAX_NUMBER)), leaving=leaving)

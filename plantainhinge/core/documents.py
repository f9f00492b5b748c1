"""Reading the operators' documents: all faults in one report."""

import json5
import msgspec

from .configuration import SCHEMA, Configuration
from .errors import BadInputError, UnknownVersionError
from .faults import DocumentObject, Fault, find_shape_faults
from .rules import find_reference_faults

STEP = "configuration.check"


def parse_configuration(text: str, *, source: str = "configuration") -> Configuration:
    """Return the checked configuration in a JSON document with comments.

    Raises
    ------
    BadInputError
        If the text is no JSON, or fails checks; the message has every fault.
    UnknownVersionError
        If the document is of a newer schema than this release knows.
    """
    document = _parse(text, source)
    _reject_newer(document, source)
    faults = list(find_shape_faults(document, Configuration))
    if faults:
        raise _report(faults, source)
    configuration = msgspec.convert(document, Configuration)
    faults = list(find_reference_faults(configuration))
    if faults:
        raise _report(faults, source)
    return configuration


def encode_checked(configuration: Configuration) -> bytes:
    """Return a checked configuration as plain JSON for the daemons."""
    return msgspec.json.encode(configuration)


def decode_checked(data: bytes, *, source: str = "configuration") -> Configuration:
    """Return the configuration that ``encode_checked`` encoded.

    Raises
    ------
    BadInputError, UnknownVersionError
        As ``parse_configuration`` does.
    """
    try:
        _reject_newer(msgspec.json.decode(data), source)
        configuration = msgspec.json.decode(data, type=Configuration)
    except msgspec.MsgspecError as error:
        raise BadInputError(str(error), step=STEP, peer=source) from error
    faults = list(find_reference_faults(configuration))
    if faults:
        raise _report(faults, source)
    return configuration


def _parse(text: str, source: str) -> object:
    try:
        return json5.loads(text, object_pairs_hook=DocumentObject)
    except ValueError as error:
        where = str(error).removeprefix("<string>:")
        raise BadInputError(f"line {where}", step=STEP, peer=source) from error
    except RecursionError as error:
        raise BadInputError("nested too deep", step=STEP, peer=source) from error


def _reject_newer(document: object, source: str) -> None:
    schema = document.get("schema") if isinstance(document, dict) else None
    if isinstance(schema, int) and schema > SCHEMA:
        raise UnknownVersionError(
            f"schema {schema} is newer than {SCHEMA}", step=STEP, peer=source
        )


def _report(faults: list[Fault], source: str) -> BadInputError:
    lines = "\n".join(f"  {fault}" for fault in faults)
    count = f"{len(faults)} fault{'s' if len(faults) > 1 else ''}"
    return BadInputError(f"{count}:\n{lines}", step=STEP, peer=source)

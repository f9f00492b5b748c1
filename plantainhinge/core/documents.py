"""Parsing and validation of configurations; one error reports all faults."""

import msgspec

from .configuration import SCHEMA, Configuration
from .errors import BadInputError, UnknownVersionError
from .faults import find_type_faults, make_fault_error, parse_json
from .packing import DECODING_ERRORS
from .rules import find_reference_faults

STEP = "configuration.check"


def parse_configuration(text: str, *, source: str = "configuration") -> Configuration:
    """Parse and validate a configuration written as JSON with comments.

    Raises
    ------
    BadInputError
        If the text is not valid JSON or the configuration is invalid; the message
        lists every fault that was found.
    UnknownVersionError
        If the schema version is newer than this release supports.
    """
    document = parse_json(text, step=STEP, source=source)
    _check_schema_version(document, source)
    faults = list(find_type_faults(document, Configuration))
    if faults:
        raise make_fault_error(faults, step=STEP, source=source)
    configuration = msgspec.convert(document, Configuration)
    faults = list(find_reference_faults(configuration))
    if faults:
        raise make_fault_error(faults, step=STEP, source=source)
    return configuration


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a validated configuration as plain JSON, for the daemons to read."""
    return msgspec.json.encode(configuration)


def decode_configuration(
    data: bytes, *, source: str = "configuration"
) -> Configuration:
    """Decode and validate a configuration from ``encode_configuration``.

    Raises
    ------
    BadInputError, UnknownVersionError
        As in ``parse_configuration``.
    """
    try:
        _check_schema_version(msgspec.json.decode(data), source)
        configuration = msgspec.json.decode(data, type=Configuration)
    except DECODING_ERRORS as error:
        raise BadInputError(str(error), step=STEP, peer=source) from error
    faults = list(find_reference_faults(configuration))
    if faults:
        raise make_fault_error(faults, step=STEP, source=source)
    return configuration


def _check_schema_version(document: object, source: str) -> None:
    schema = document.get("schema") if isinstance(document, dict) else None
    if isinstance(schema, int) and schema > SCHEMA:
        raise UnknownVersionError(
            f"schema {schema} is newer than {SCHEMA}", step=STEP, peer=source
        )

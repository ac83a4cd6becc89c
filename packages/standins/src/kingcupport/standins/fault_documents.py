"""Converts fault settings between JSON objects and attrs classes."""

import json

import attrs
import cattrs

from kingcupport.standins import json_server

_converter = cattrs.Converter(forbid_extra_keys=True)


def read_document(document, document_class):
    """Create an instance of an attrs class from a JSON object.

    Args:
        document: Parsed JSON; missing fields keep their default.
        document_class: Attrs class to instantiate.

    Raises:
        JsonRequestError: Unknown field, missing field or wrong type.
    """
    try:
        return _converter.structure(document, document_class)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        reason = '; '.join(cattrs.transform_error(error))
        raise json_server.JsonRequestError(
            reason, step='read_document'
        ) from None


def write_document(value):
    """Return an attrs instance as a JSON object."""
    return attrs.asdict(value)


def parse_object(body):
    """Parse a text that must be a JSON object.

    Raises:
        JsonRequestError: The text is not a JSON object.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise json_server.JsonRequestError(
            f'body is not JSON: {error}', step='parse_object'
        ) from None
    if not isinstance(document, dict):
        raise json_server.JsonRequestError(
            'body is not an object', step='parse_object'
        )
    return document

"""Guards against invalid addresses that are accepted and fail on use."""

import pytest

from kingcupport.common import address


def test_round_trip():
    for text in ('10.0.0.7:9000', '[::1]:1'):
        assert str(address.parse_address(text)) == text


@pytest.mark.parametrize(
    'text', ['localhost:80', '10.0.0.1', '10.0.0.1:0', '10.0.0.1:x', '', ':1']
)
def test_bad_address_is_refused(text):
    with pytest.raises(address.AddressError):
        address.parse_address(text)

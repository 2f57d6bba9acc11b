"""CBOR for the data of the protocols: maps keyed by text, lists, text, numbers, booleans and null."""

import struct


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += struct.pack(">BB", major << 5 | 24, number)
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


_BREAK = object()


def decode(data):
    value, _ = _decode(data, 0)
    return value


def _decode(data, at):
    first = data[at]
    at += 1
    major, info = first >> 5, first & 31
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        if info == 31:
            return _BREAK, at
        raise ValueError("simple value")
    if info < 24:
        number = info
    elif info == 24:
        number, at = data[at], at + 1
    elif info == 25:
        number, at = struct.unpack_from(">H", data, at)[0], at + 2
    elif info == 26:
        number, at = struct.unpack_from(">I", data, at)[0], at + 4
    elif info == 27:
        number, at = struct.unpack_from(">Q", data, at)[0], at + 8
    elif info == 31:
        number = None
    else:
        raise ValueError("length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        if number is None:
            parts = b""
            while True:
                part, at = _decode(data, at)
                if part is _BREAK:
                    break
                parts += part if isinstance(part, bytes) else part.encode()
        else:
            parts = bytes(data[at:at + number])
            if len(parts) < number:
                raise ValueError("cut short")
            at += number
        return (parts.decode() if major == 3 else parts), at
    if major == 4:
        items = []
        while number is None or len(items) < number:
            item, at = _decode(data, at)
            if item is _BREAK:
                break
            items.append(item)
        return items, at
    if major == 5:
        fields = {}
        while number is None or len(fields) < number:
            key, at = _decode(data, at)
            if key is _BREAK:
                break
            fields[key], at = _decode(data, at)
        return fields, at
    raise ValueError("major type")

"""The short form of messages between VMs: JSON, compressed with a dictionary that all VMs know.

Most messages are shorter than 1 KB and consist of the same field names, which general compression
only shortens from the second time on. A short message begins with a marker, which JSON and zlib
streams never begin with. In a request, the signature follows the marker.

VMs of older builds do not know this form. A client offers it with a header on the first request of
a connection and uses it on that connection once the answer has it.
"""

from __future__ import annotations

import zlib

MARKER = b"\x01"
OFFER_HEADER = "X-Fleet-Terse"
OFFER_VARIABLE = "HTTP_X_FLEET_TERSE"
FORMAT = "1"  # of the dictionary below; a change of it needs another format
COMPRESSION_LEVEL = 6  # the default of zlib
MAX_DEFLATE_BITS = -15  # no zlib header; a window of 32 KB
LONG_MESSAGE_BYTES = 6 * 1024  # with the dictionary, shorter ones fit into a window of 8 KB
SHORT_DEFLATE_BITS = -13
SHORT_MEMORY_LEVEL = 6  # sets up in a third of the time that the default needs
# The most frequent messages stand last, where references to them are shortest.
DICTIONARY = (
    b'{"index":,"term":,"command":{"kind":"declare","fields":{"version":,"routes":[["r-","","latest'
    b'"],"workspaces":[["","transaction_idle":3.0,"document":""},"change_id":"declaration '
    b'{"kind":"register_endpoint","fields":{"name":"i-","address":"10.","zone":"","group":"",'
    b'"leaving":false,"connections":1,"slots":,"group_size":0,"incarnation":17,"sequence":,'
    b'"claims_primary":false},"change_id":"","expected_revision":null}'
    b'{"kind":"pre_vote_reply","snapshot","state":{"handle":"front-'
    b'{"revision":,"entries":[],"snapshot":null,"age_s":0.0,"waited_s":0.3,"leader":"10.",'
    b'"joined":["10.","10."],"stamp":[17,0],"entry_vms":,"serving_taken":true,"homes":'
    b'{"version":"","vms":null},"observations":[["",[1,],0.'
    b'{"revision":,"wait_s":0.3,"only_serves":true,"has_log":false,"reports":[{"name":"front-'
    b'{"revision":,"wait_s":0.3,"only_serves":false,"has_log":true,"reports":[{"name":"10.'
    b'","address":"10.","zone":"","has_disk":true,"revision":,"age":0.0,"lost_votes":false,'
    b'"entries":0,"serves":false},{"name":"10.","has_disk":false,"serves":true}],"homes":"","serving'
    b'":{"version":"","vms":null}}'
    b'{"messages":[{"kind":"append","sender":"10.","receiver":"10.","term":1,"index":,"log_term":1,'
    b'"entries":[],"commit":,"granted":false,"sent_at":,"age":0.0,"state":null}],"stamp":[17,0]}'
    b'{"messages":[{"kind":"append_reply","sender":"10.","log_term":0,"commit":0,"granted":true,'
    b'{"granted":0,"answered":true,"next_token_s":0.{"granted":1,"answered":true,"next_token_s":0.0}'
    b'{"workspace":"","zone":"","wanted":1,"pooled":false}'
    b'{"status":"refused","code":"LAGGING","message":"","flags":[true,false,true]}'
    b'{"status":"ok","rows":[""],"position":[1,],"code":"","message":"","signature":"1.'
    b'","flags":[true,true,true]}"rows":[],"position":null,'
    b'"key_hash":"","route":["r-","","","latest",null,1.0,0.2,1,"bounded",1.5,3.0,0.8,2,"own",2.5,'
    b'1.0,0.4,2,false],"values":{},"kind":"write","verb":"execute","number":"","text":"EXECUTE s0 '
    b'","arguments":"","prepared":[false,"q"],"min_position":[1,],"limit_s":0.,"patience_s":0.,'
    b'"transaction":[false,true]}"kind":"read","verb":"read","text":"READ ","prepared":null,'
    b'"min_position":null,"transaction":null}{"handle":"front-","endpoint":"i-","key_hash":"'
)


def is_terse(body: bytes) -> bool:
    """Return whether a body is in the short form."""
    return body[:1] == MARKER


def compress(json_body: bytes) -> bytes:
    """Return the payload of a short message."""
    is_long = len(json_body) > LONG_MESSAGE_BYTES
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        zlib.DEFLATED,
        MAX_DEFLATE_BITS if is_long else SHORT_DEFLATE_BITS,
        zlib.DEF_MEM_LEVEL if is_long else SHORT_MEMORY_LEVEL,
        zdict=DICTIONARY,
    )
    return compressor.compress(json_body) + compressor.flush()


def decompress(payload: bytes) -> bytes:
    """Return the JSON of a payload; raises `zlib.error` if it is damaged or cut off."""
    decompressor = zlib.decompressobj(MAX_DEFLATE_BITS, zdict=DICTIONARY)
    json_body = decompressor.decompress(payload)
    if not decompressor.eof:
        raise zlib.error("the short message is incomplete")
    return json_body

package membership

import "encoding/binary"

// A packet is a version, a kind, the sender's name with its length, an incarnation of 8 bytes, and a body to its end.
const (
	packetVersion  = 1
	kindMessage    = 1
	kindRemembered = 2 // the incarnation is the receiver's, as the sender remembers it
	nameMost       = 128
)

func encode(kind byte, name string, incarnation uint64, body []byte) []byte {
	b := make([]byte, 0, 3+len(name)+8+len(body))
	b = append(b, packetVersion, kind, byte(len(name)))
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, incarnation)
	return append(b, body...)
}

func decode(b []byte) (kind byte, name string, incarnation uint64, body []byte, ok bool) {
	if len(b) < 3 || b[0] != packetVersion || b[1] != kindMessage && b[1] != kindRemembered {
		return
	}
	n := int(b[2])
	if n == 0 || n > nameMost || len(b) < 3+n+8 || len(b) > 3+n+8+MaxBodyBytes {
		return
	}
	return b[1], string(b[3 : 3+n]), binary.BigEndian.Uint64(b[3+n:]), append([]byte(nil), b[3+n+8:]...), true
}

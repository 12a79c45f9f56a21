package membership

import (
	"bytes"
	"encoding/binary"
)

// A packet is, in this order, with numbers big-endian:
//
//	version 1 | kind 1 | length of the sender's name 1 | name | incarnation 8 | payload, to the packet's end
const (
	packetVersion    = 1
	packetHeaderSize = 3 // up to the name
	incarnationSize  = 8
	maxNameBytes     = 128
)

// packetKind says what a packet is for.
type packetKind byte

const (
	kindMessage          packetKind = 1
	kindKnownIncarnation packetKind = 2 // the incarnation is the receiver's, as the sender knows it
)

type packet struct {
	kind        packetKind
	from        string
	incarnation uint64
	payload     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, 0, packetHeaderSize+len(p.from)+incarnationSize+len(p.payload))
	b = append(b, packetVersion, byte(p.kind), byte(len(p.from)))
	b = append(b, p.from...)
	b = binary.BigEndian.AppendUint64(b, p.incarnation)
	return append(b, p.payload...)
}

// decodePacket decodes what a peer sent, which may be anything. The packet shares no memory with b.
func decodePacket(b []byte) (p packet, ok bool) {
	if len(b) < packetHeaderSize || b[0] != packetVersion {
		return p, false
	}
	p.kind = packetKind(b[1])
	if p.kind != kindMessage && p.kind != kindKnownIncarnation {
		return p, false
	}
	nameSize := int(b[2])
	payloadStart := packetHeaderSize + nameSize + incarnationSize
	if nameSize == 0 || nameSize > maxNameBytes || len(b) < payloadStart || len(b) > payloadStart+MaxBodyBytes {
		return p, false
	}
	p.from = string(b[packetHeaderSize : packetHeaderSize+nameSize])
	p.incarnation = binary.BigEndian.Uint64(b[packetHeaderSize+nameSize:])
	p.payload = bytes.Clone(b[payloadStart:])
	return p, true
}

package membership

import (
	"bytes"
	"encoding/binary"
)

// A packet has these fields in this order. Sizes are in bytes, and numbers are big-endian:
//
//	version 1 | kind 1 | length of the sender's name 1 | name | incarnation 8 | payload, to the packet's end
const (
	packetVersion    = 1
	packetHeaderSize = 3 // size of the fields before the name
	incarnationSize  = 8
	maxNameBytes     = 128
)

// packetKind is the type of a packet.
type packetKind byte

const (
	kindMessage          packetKind = 1
	kindKnownIncarnation packetKind = 2 // carries the latest incarnation of the receiver that the sender has seen
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

// decodePacket decodes a packet from the network, which may hold arbitrary bytes. ok reports whether the packet is valid. The
// result shares no memory with b.
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
	if nameSize == 0 || nameSize > maxNameBytes || len(b) < payloadStart || len(b) > payloadStart+MaxPayloadBytes {
		return p, false
	}
	p.from = string(b[packetHeaderSize : packetHeaderSize+nameSize])
	p.incarnation = binary.BigEndian.Uint64(b[packetHeaderSize+nameSize:])
	p.payload = bytes.Clone(b[payloadStart:])
	return p, true
}

package codec

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Frames without arguments.
const (
	PingFrame = "PING\r\n"
	PongFrame = "PONG\r\n"
	OKFrame   = "+OK\r\n"
)

// AppendPub appends the control line of PUB, or of HPUB if headerSize is positive. size is the size of headers and payload
// together. Both sizes are in bytes. The caller writes the headers, the payload and the line end after them, so that the
// payload of a forwarded message is not copied.
func AppendPub(b, subject, reply []byte, headerSize, size int) []byte {
	if headerSize > 0 {
		b = append(b, "HPUB "...)
	} else {
		b = append(b, "PUB "...)
	}
	b = append(append(b, subject...), ' ')
	return appendReplyAndSizes(b, reply, headerSize, size)
}

// AppendMsg appends the control line of MSG, or of HMSG if headerSize is positive. As for AppendPub, the caller writes the
// headers, the payload and the line end.
func AppendMsg(b, subject, sid, reply []byte, headerSize, size int) []byte {
	if headerSize > 0 {
		b = append(b, "HMSG "...)
	} else {
		b = append(b, "MSG "...)
	}
	b = append(append(b, subject...), ' ')
	b = append(append(b, sid...), ' ')
	return appendReplyAndSizes(b, reply, headerSize, size)
}

// appendReplyAndSizes appends the reply subject, the sizes and the line end to the control line of a message.
func appendReplyAndSizes(b, reply []byte, headerSize, size int) []byte {
	if len(reply) > 0 {
		b = append(append(b, reply...), ' ')
	}
	if headerSize > 0 {
		b = append(strconv.AppendInt(b, int64(headerSize), 10), ' ')
	}
	return append(strconv.AppendInt(b, int64(size), 10), lineEnd...)
}

// AppendSub appends a SUB frame. An empty queue group means none.
func AppendSub(b, subject, queue, sid []byte) []byte {
	b = append(append(append(b, "SUB "...), subject...), ' ')
	if len(queue) > 0 {
		b = append(append(b, queue...), ' ')
	}
	return append(append(b, sid...), lineEnd...)
}

// AppendUnsub appends an UNSUB frame that ends a subscription after maxMessages messages, or at once if maxMessages is not
// positive.
func AppendUnsub(b, sid []byte, maxMessages int) []byte {
	b = append(append(b, "UNSUB "...), sid...)
	if maxMessages > 0 {
		b = strconv.AppendInt(append(b, ' '), int64(maxMessages), 10)
	}
	return append(b, lineEnd...)
}

// AppendErr appends a -ERR frame with a text.
func AppendErr(b []byte, text string) []byte {
	return append(append(append(b, "-ERR '"...), text...), "'\r\n"...)
}

// AppendJSON appends a frame that consists of an operation, INFO or CONNECT, and v as a JSON object. It panics if v cannot be
// marshalled, because that is a programming error of the caller.
func AppendJSON(b []byte, operation string, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("nats codec: marshal %s: %w", operation, err))
	}
	return append(append(append(append(b, operation...), ' '), text...), lineEnd...)
}

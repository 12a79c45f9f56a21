package codec

import (
	"strconv"
	"time"
)

// Status codes of replies that a gateway generates. StatusNoResponders, sent without a description, is part of the NATS
// protocol. The others follow the status codes that clients know from JetStream.
const (
	StatusNoResponders    = 503
	StatusTimeout         = 408
	StatusTooManyRequests = 429
	StatusServerError     = 500
)

// AppendStatus appends message headers with a status line, which consists of the version NATS/1.0, the code and, unless it is
// empty, the description. A positive retryAfter is added as the header Retry-After-Ms, rounded up to whole milliseconds.
func AppendStatus(b []byte, code int, description string, retryAfter time.Duration) []byte {
	b = strconv.AppendInt(append(b, "NATS/1.0 "...), int64(code), 10)
	if description != "" {
		b = append(append(b, ' '), description...)
	}
	b = append(b, lineEnd...)
	if retryAfter > 0 {
		b = append(b, "Retry-After-Ms: "...)
		b = append(strconv.AppendInt(b, (retryAfter+time.Millisecond-1).Milliseconds(), 10), lineEnd...)
	}
	return append(b, lineEnd...)
}

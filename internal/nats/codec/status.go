package codec

import (
	"encoding/json"
	"strconv"
	"time"
)

// ConnectOptions are what a client's CONNECT says that a gateway goes by.
type ConnectOptions struct {
	Verbose      bool   `json:"verbose"`
	Pedantic     bool   `json:"pedantic"`
	Headers      bool   `json:"headers"`
	NoResponders bool   `json:"no_responders"`
	Name         string `json:"name"`
	User         string `json:"user"`
	Token        string `json:"auth_token"`
	Echo         *bool  `json:"echo"`
}

// ParseConnect reads a CONNECT's object: what a gateway goes by, and all of its members as they came.
func ParseConnect(body []byte) (o ConnectOptions, all map[string]json.RawMessage, err error) {
	if json.Unmarshal(body, &all) != nil || all == nil || json.Unmarshal(body, &o) != nil {
		return o, nil, ErrParse
	}
	return o, all, nil
}

// ServerInfo is what an INFO says that a gateway goes by or says itself.
type ServerInfo struct {
	ID           string `json:"server_id"`
	Name         string `json:"server_name"`
	Version      string `json:"version"`
	Go           string `json:"go,omitempty"`
	Host         string `json:"host"`
	Port         int    `json:"port"`
	Headers      bool   `json:"headers"`
	AuthRequired bool   `json:"auth_required,omitempty"`
	MaxPayload   int    `json:"max_payload"`
	Proto        int    `json:"proto"`
	ClientID     uint64 `json:"client_id,omitempty"`
	Nonce        string `json:"nonce,omitempty"`
	LameDuck     bool   `json:"ldm,omitempty"`
}

// ParseInfo reads an INFO's object.
func ParseInfo(body []byte) (i ServerInfo, err error) {
	if json.Unmarshal(body, &i) != nil {
		return i, ErrParse
	}
	return i, nil
}

// Status codes of answers that a gateway makes. 503 without more is the protocol's own word for no responders; the
// others follow the codes that clients know from JetStream.
const (
	StatusNoResponders    = 503
	StatusTimeout         = 408
	StatusTooManyRequests = 429
	StatusServerError     = 500
)

// AppendStatus appends the headers of a status: NATS/1.0 with the code and, if there are, words, and when to come again.
func AppendStatus(b []byte, code int, words string, after time.Duration) []byte {
	b = strconv.AppendInt(append(b, "NATS/1.0 "...), int64(code), 10)
	if words != "" {
		b = append(append(b, ' '), words...)
	}
	b = append(b, end...)
	if after > 0 {
		b = append(b, "Retry-After-Ms: "...)
		b = append(strconv.AppendInt(b, (after+time.Millisecond-1).Milliseconds(), 10), end...)
	}
	return append(b, end...)
}

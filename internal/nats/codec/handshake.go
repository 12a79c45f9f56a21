package codec

import "encoding/json"

// ConnectOptions holds the JSON members of CONNECT that a gateway uses.
type ConnectOptions struct {
	Verbose      bool   `json:"verbose"`
	Pedantic     bool   `json:"pedantic"`
	Headers      bool   `json:"headers"`
	NoResponders bool   `json:"no_responders"`
	Name         string `json:"name"`
	User         string `json:"user"`
	Token        string `json:"auth_token"`
	Echo         *bool  `json:"echo"` // nil means that the client did not give it
}

// ParseConnect parses the JSON object of CONNECT. It returns the options that a gateway uses, and all members unchanged as raw
// JSON. The only error is ErrParse.
func ParseConnect(body []byte) (o ConnectOptions, members map[string]json.RawMessage, err error) {
	if json.Unmarshal(body, &members) != nil || members == nil || json.Unmarshal(body, &o) != nil {
		return o, nil, ErrParse
	}
	return o, members, nil
}

// ServerInfo holds the JSON members of INFO that a gateway uses or sends.
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
	LameDuck     bool   `json:"ldm,omitempty"` // the server is in lame duck mode: it is draining
}

// ParseInfo parses the JSON object of INFO. The only error is ErrParse.
func ParseInfo(body []byte) (i ServerInfo, err error) {
	if json.Unmarshal(body, &i) != nil {
		return i, ErrParse
	}
	return i, nil
}

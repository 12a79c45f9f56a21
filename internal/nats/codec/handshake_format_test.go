package codec_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/internal/nats/codec"
)

func describeConnect(body []byte) string {
	options, members, err := codec.ParseConnect(body)
	if err != nil {
		return describeError(err)
	}
	echo := "not stated"
	if options.Echo != nil {
		echo = strconv.FormatBool(*options.Echo)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "accepted verbose=%t pedantic=%t headers=%t no_responders=%t", options.Verbose, options.Pedantic,
		options.Headers, options.NoResponders)
	fmt.Fprintf(&b, " name=%q user=%q token=%q echo=%s", options.Name, options.User, options.Token, echo)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(&b, " [%q %q]", name, string(members[name]))
	}
	return b.String()
}

func describeInfo(body []byte) string {
	info, err := codec.ParseInfo(body)
	if err != nil {
		return describeError(err)
	}
	return fmt.Sprintf("accepted id=%q name=%q version=%q go=%q host=%q port=%d", info.ID, info.Name, info.Version, info.Go,
		info.Host, info.Port) +
		fmt.Sprintf(" headers=%t auth=%t payload=%d proto=%d", info.Headers, info.AuthRequired, info.MaxPayload, info.Proto) +
		fmt.Sprintf(" client=%d nonce=%q draining=%t", info.ClientID, info.Nonce, info.LameDuck)
}

func TestParseConnectAndInfo(t *testing.T) {
	var lines []string
	for _, body := range []string{
		`{"verbose":true,"pedantic":true,"headers":true,"no_responders":true,"name":"n","user":"u","auth_token":"t","echo":false,"lang":"go","tls_required":false,"x":[1, 2]}`,
		`{"verbose":false,"echo":true}`, `{}`, `{"echo":null,"name":null}`, `{"Verbose":true,"NAME":"x"}`,
		`{"verbose":1}`, `{"name":7}`, `[]`, `null`, `7`, `""`, ``, `{`, `{"a":1}x`,
		`{"name":"a","name":"b"}`, `{"name":"é\u00e9"}`,
	} {
		lines = append(lines, fmt.Sprintf("connect %q: %s", body, describeConnect([]byte(body))))
	}
	for _, body := range []string{
		`{"server_id":"id","server_name":"name","version":"2","go":"go1","host":"h","port":4222,"headers":true,"auth_required":true,"max_payload":9,"proto":1,"client_id":17,"nonce":"n","ldm":true,"x":1}`,
		`{}`, `{"ldm":true}`, `{"max_payload":"9"}`, `{"max_payload":-9}`, `{"client_id":-1}`, `{"port":1.5}`, `null`,
		`[]`, `7`, ``, `{`,
	} {
		lines = append(lines, fmt.Sprintf("info %q: %s", body, describeInfo([]byte(body))))
	}
	golden.CheckLines(t, "connect_info.txt", lines)
}

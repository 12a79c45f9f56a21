package frontend

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/nats/codec"
)

func TestRequestKey(t *testing.T) {
	withUser := &Session{key: "session-key", options: codec.ConnectOptions{User: "alice"}}
	withoutUser := &Session{key: "session-key"}
	for _, c := range []struct {
		name    string
		session *Session
		source  operator.KeySource
		want    string
	}{
		{"no source", withUser, operator.KeySource{}, "session-key"},
		{"session", withUser, operator.KeySource{Kind: "session"}, "session-key"},
		{"user", withUser, operator.KeySource{Kind: "user"}, "alice"},
		{"user not given", withoutUser, operator.KeySource{Kind: "user"}, "session-key"},
		{"token", withUser, operator.KeySource{Kind: "token", Token: 1}, "new"},
		{"no such token", withUser, operator.KeySource{Kind: "token", Token: 2}, "session-key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.session.requestKey(c.source, []byte("orders.new"))); diff != "" {
				t.Errorf("key (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWithoutHeaders(t *testing.T) {
	const headers = "NATS/1.0\r\n\r\n"
	for _, c := range []struct {
		name       string
		headerSize int
		body, want string
	}{
		{"payload only", 0, "hello", "hello"},
		{"headers and payload", len(headers), headers + "hello", "hello"},
		{"headers only", len(headers), headers, headers},
		{"empty", 0, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, string(withoutHeaders(c.headerSize, []byte(c.body)))); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
		})
	}
}

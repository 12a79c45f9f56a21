package discovery

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

// roundTripper answers requests without a network.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// bodyWithHook is a response body that calls atEnd once when it has been read to its end.
type bodyWithHook struct {
	io.Reader
	atEnd func()
}

func (b *bodyWithHook) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.atEnd != nil {
		b.atEnd()
		b.atEnd = nil
	}
	return n, err
}

func (b *bodyWithHook) Close() error { return nil }

// Guards against the use of a list from the former address: the address changes just after the list has been read completely.
// The list is discarded, and the new address is polled.
func TestListOfFormerAddrIsDiscarded(t *testing.T) {
	w := New("a.example:1", refresh.Settings{}, func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	lists := make(chan engine.EndpointList, 1)
	w.SetHandler(func(ev engine.Event) { lists <- ev.(engine.EndpointList) })
	w.client.http.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
		body := &bodyWithHook{Reader: strings.NewReader(listOf(2, "s-0000000b"))}
		switch {
		case r.URL.Host == "a.example:1":
			body = &bodyWithHook{Reader: strings.NewReader(listOf(9, "s-0000000a")), atEnd: func() { w.SetAddr("b.example:1") }}
		case r.URL.RawQuery != "": // the long poll after the list
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(t.Context(), nil)
	}()
	if list := <-lists; list.Version != 2 || list.Servers[0].Name != "s-0000000b" {
		t.Errorf("got %+v, want the list of the new address", list)
	}
	t.Cleanup(func() { <-done }) // runs after t.Context is canceled
}

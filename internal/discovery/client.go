package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"example.org/milletvane/internal/discovery/refresh"
)

const (
	connectTimeout = time.Second
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	listPath       = "/catalog/members"
)

// dialFunc opens a connection as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	return dialer.DialContext(ctx, network, addr)
}

// client performs polls over one connection, which it keeps open between them. It uses no proxy and follows no redirects.
type client struct {
	http *http.Client
}

func newClient(dial dialFunc) *client {
	return &client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        1,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) closeIdleConnections() { c.http.CloseIdleConnections() }

// poll performs a poll after its delay and returns the list received. Its error is ErrTimeout if the poll's timeout passes,
// wraps context.Canceled if ctx is canceled, and otherwise describes the fault of the connection or the answer.
func (c *client) poll(ctx context.Context, addr string, poll refresh.Poll) (*EndpointList, error) {
	if err := sleep(ctx, poll.Delay); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(connectTimeout+poll.Timeout, func() { cancel(ErrTimeout) })
	defer timeout.Stop()
	// The poll's timeout begins once there is a connection, as its wait does.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timeout.Reset(poll.Timeout) },
	})
	list, err := c.fetch(ctx, pollURL(addr, poll))
	if err != nil && errors.Is(context.Cause(ctx), ErrTimeout) {
		return nil, ErrTimeout
	}
	return list, err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func pollURL(addr string, poll refresh.Poll) string {
	url := "http://" + addr + listPath
	if poll.Complete {
		return url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", url, poll.AfterVersion, poll.Wait.Milliseconds())
}

// fetch requests a list and reads the whole answer.
func (c *client) fetch(ctx context.Context, url string) (*EndpointList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("poll %s: %w", url, err)
	}
	request.Header.Set("Accept", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err // it already names the method and the URL
	}
	defer func() { _ = response.Body.Close() }() // an error does not matter once the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("poll %s: %w", url, err)
	case response.StatusCode != http.StatusOK:
		return nil, &StatusError{URL: url, Code: response.StatusCode}
	case len(body) > maxBodyBytes:
		return nil, &TooLargeError{URL: url, MaxBytes: maxBodyBytes}
	}
	list, err := Parse(body)
	if err != nil {
		return nil, fmt.Errorf("poll %s: %w", url, err)
	}
	return list, nil
}

package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/operr"
)

// The error of a poll can be identified by its type, and states a remedy for operators.
func TestPollErrors(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		is     func(error) bool
	}{
		"status": {
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
			func(err error) bool {
				var status *StatusError
				return errors.As(err, &status) && status.Code == http.StatusBadGateway
			},
		},
		"too large": {
			func(w http.ResponseWriter, _ *http.Request) { respond(w, strings.Repeat(" ", maxBodyBytes+1)) },
			func(err error) bool {
				var tooLarge *TooLargeError
				return errors.As(err, &tooLarge) && tooLarge.MaxBytes == maxBodyBytes
			},
		},
		"no list": {
			func(w http.ResponseWriter, _ *http.Request) { respond(w, "<html>") },
			func(err error) bool {
				var invalid *InvalidListError
				return errors.As(err, &invalid)
			},
		},
		"without id": {
			func(w http.ResponseWriter, _ *http.Request) { respond(w, `{"servers":[{}]}`) },
			func(err error) bool { return errors.Is(err, ErrMissingID) },
		},
		"no answer": {
			func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			func(err error) bool { return errors.Is(err, ErrTimeout) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := pollOnce(t, c.answer)
			if !c.is(err) {
				t.Errorf("got error %v of type %T, want the error of the case %q", err, err, name)
			}
			operrError := operr.Find(fmt.Errorf("wrapped: %w", err))
			if operrError == nil || operrError.Remedy() == "" || !strings.Contains(err.Error(), operrError.Problem()) {
				t.Errorf("got operator error %v for %v, want one with a remedy and a problem that is part of it", operrError, err)
			}
		})
	}
}

// pollOnce returns the error of one poll of a service with the given handler.
func pollOnce(t *testing.T, answer http.HandlerFunc) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns := make(pipeListener)
		server := &http.Server{Handler: answer}
		go func() { _ = server.Serve(conns) }() // ends when conns is closed
		client := newClient(conns.dial)
		_, err = client.poll(t.Context(), "a.example:1", refresh.Poll{Complete: true, Timeout: time.Second})
		client.closeIdleConnections()
		close(conns)
		if closeErr := server.Close(); closeErr != nil {
			t.Error(closeErr)
		}
	})
	return err
}

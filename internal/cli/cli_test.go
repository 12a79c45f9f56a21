package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func run(env map[string]string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), append([]string{"milletvane"}, args...), func(k string) string { return env[k] }, &o, &e)
	return code, o.String(), e.String()
}

func TestVersion(t *testing.T) {
	if code, out, _ := run(nil, "version"); code != 0 || !strings.HasPrefix(out, "milletvane "+Version) {
		t.Errorf("exit %d, %q", code, out)
	}
}

func TestCheckConfig(t *testing.T) {
	good := map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	if code, out, errs := run(good, "check-config"); code != 0 || !strings.Contains(out, "listen=127.0.0.1:5000") {
		t.Errorf("exit %d, %q, %q", code, out, errs)
	}
}

// Both what checks and what serves end with a fault that names the key, bare or by name.
func TestBadConfigurationFails(t *testing.T) {
	bad := map[string]string{"PROXY_LISTEN": "127.0.0.1", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	for _, args := range [][]string{nil, {"serve"}, {"check-config"}} {
		if code, _, errs := run(bad, args...); code == 0 || !strings.Contains(errs, "PROXY_LISTEN") {
			t.Errorf("%q: exit %d, %q", args, code, errs)
		}
	}
	if code, _, errs := run(bad, "no-such-command"); code == 0 || !strings.Contains(errs, "no-such-command") {
		t.Errorf("an unknown command: exit %d, %q", code, errs)
	}
}

// SIGHUP has the file read again: a good one is gone by though the environment still names the old discovery,
// a bad one changes nothing, and neither ends the program. SIGTERM does.
func TestSIGHUPReloads(t *testing.T) {
	d := newRecordingDiscovery(t)
	first, second := d.serve("first"), d.serve("second")
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"settings":{"discovery":"ask"}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(first)
	var errs lockedBuffer
	code := make(chan int, 1)
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": first}
	go func() {
		code <- Run(context.Background(), []string{"milletvane"}, func(k string) string { return env[k] }, io.Discard, &errs)
	}()
	const whole, watch = "/catalog/members", "/catalog/members?after=7&wait_ms=3000"
	d.expect("first " + whole)
	d.expect("first " + watch)
	write("nowhere")
	signalSelf(t, syscall.SIGHUP)
	for until := time.Now().Add(20 * time.Second); !strings.Contains(errs.String(), "discovery (PROXY_DISCOVERY)"); {
		if time.Now().After(until) {
			t.Fatalf("the faulty key is not named in %q", errs.String())
		}
		time.Sleep(time.Millisecond)
	}
	write(second)
	signalSelf(t, syscall.SIGHUP)
	d.expect("second " + whole)
	d.expect("second " + watch)
	write(first) // more than once
	signalSelf(t, syscall.SIGHUP)
	d.expect("first " + whole)
	d.expect("first " + watch)
	signalSelf(t, syscall.SIGTERM)
	if c := <-code; c != 0 {
		t.Errorf("exit %d: %s", c, errs.String())
	}
}

// recordingDiscovery records the calls of several discovery services, by the name of each.
type recordingDiscovery struct {
	t     *testing.T
	calls chan string
}

func newRecordingDiscovery(t *testing.T) *recordingDiscovery {
	t.Helper()
	return &recordingDiscovery{t: t, calls: make(chan string, 100)}
}

// serve starts a service and returns its address.
func (d *recordingDiscovery) serve(name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- name + " " + r.URL.RequestURI()
		if r.URL.RawQuery != "" {
			<-r.Context().Done() // a watch, cut by the gateway
		}
		_, _ = io.WriteString(w, `{"version":7,"full":true,"servers":[]}`) // the gateway may have gone
	}))
	d.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// expect waits for the next call.
func (d *recordingDiscovery) expect(want string) {
	d.t.Helper()
	select {
	case got := <-d.calls:
		if got != want {
			d.t.Fatalf("called %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		d.t.Fatalf("%q was not called", want)
	}
}

func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// An operator file is checked with the rest, and every fault is told with its file, line and key.
func TestOperatorFile(t *testing.T) {
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	file := filepath.Join(t.TempDir(), "op.edn")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("(nats\n (listen \"127.0.0.1:4222\"))")
	if code, out, errs := run(env, "check-config", "--operator", file); code != 0 || !strings.Contains(out, "nats=127.0.0.1:4222") {
		t.Errorf("exit %d, %q, %q", code, out, errs)
	}
	write("(nats\n (listen 1)\n (cluster 2))")
	env["MILLETVANE_OPERATOR"] = file
	for _, args := range [][]string{{"check-config"}, {"serve"}} {
		code, _, errs := run(env, args...)
		if code == 0 || !strings.Contains(errs, "op.edn:2: nats.listen") || !strings.Contains(errs, "op.edn:3: nats.cluster") {
			t.Errorf("%q: exit %d, %q", args, code, errs)
		}
	}
}

func TestLogForms(t *testing.T) {
	bad := map[string]string{"PROXY_LISTEN": "x"}
	if code, _, errs := run(bad, "--log-format", "json", "check-config"); code == 0 || !strings.HasPrefix(errs, "{") {
		t.Errorf("exit %d, %q", code, errs)
	}
	if code, _, errs := run(bad, "--log-level", "loud", "check-config"); code == 0 || !strings.Contains(errs, "log-level") {
		t.Errorf("exit %d, %q", code, errs)
	}
}

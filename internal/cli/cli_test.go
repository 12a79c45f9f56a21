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

// run executes a command line with the given environment and returns its exit code and what it writes to standard output and
// standard error.
func run(env map[string]string, args ...string) (code int, out, errOut string) {
	var outBuf, errBuf bytes.Buffer
	code = Run(context.Background(), append([]string{"milletvane"}, args...), func(key string) string { return env[key] },
		&outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

func TestVersion(t *testing.T) {
	if code, out, _ := run(nil, "version"); code != 0 || !strings.HasPrefix(out, "milletvane "+Version) {
		t.Errorf("version: exit code %d, output %q, want 0 and the version", code, out)
	}
}

func TestCheckConfig(t *testing.T) {
	good := map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	if code, out, errOut := run(good, "check-config"); code != 0 || !strings.Contains(out, "listen=127.0.0.1:5000") {
		t.Errorf("check-config: exit code %d, output %q, errors %q, want 0 and the listen address", code, out, errOut)
	}
}

// check-config and serve, by name or as the default command, fail with an error that names the faulty key. An unknown command
// fails with an error that names the command.
func TestFaultyConfigurationFails(t *testing.T) {
	bad := map[string]string{"PROXY_LISTEN": "127.0.0.1", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	for _, args := range [][]string{nil, {"serve"}, {"check-config"}} {
		if code, _, errOut := run(bad, args...); code == 0 || !strings.Contains(errOut, "PROXY_LISTEN") {
			t.Errorf("%q: exit code %d, errors %q, want a failure that names PROXY_LISTEN", args, code, errOut)
		}
	}
	if code, _, errOut := run(bad, "no-such-command"); code == 0 || !strings.Contains(errOut, "no-such-command") {
		t.Errorf("unknown command: exit code %d, errors %q, want a failure that names the command", code, errOut)
	}
}

// SIGHUP reloads the configuration file. A valid file takes effect, although the environment still names the former discovery
// address. An invalid file changes nothing. Neither ends the program; SIGTERM does.
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
	var errOut lockedBuffer
	code := make(chan int, 1)
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": first}
	go func() {
		code <- Run(context.Background(), []string{"milletvane"}, func(key string) string { return env[key] }, io.Discard, &errOut)
	}()
	const fullList, watch = "/catalog/members", "/catalog/members?after=7&wait_ms=3000"
	d.expect("first " + fullList)
	d.expect("first " + watch)
	write("nowhere")
	signalSelf(t, syscall.SIGHUP)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(errOut.String(), "discovery (PROXY_DISCOVERY)"); {
		if time.Now().After(deadline) {
			t.Fatalf("the log does not name the faulty key within 20s: %q", errOut.String())
		}
		time.Sleep(time.Millisecond)
	}
	write(second)
	signalSelf(t, syscall.SIGHUP)
	d.expect("second " + fullList)
	d.expect("second " + watch)
	write(first) // a second reload
	signalSelf(t, syscall.SIGHUP)
	d.expect("first " + fullList)
	d.expect("first " + watch)
	signalSelf(t, syscall.SIGTERM)
	if c := <-code; c != 0 {
		t.Errorf("exit code %d, want 0; log:\n%s", c, errOut.String())
	}
}

// recordingDiscovery records the requests to several discovery services, with the name of the service.
type recordingDiscovery struct {
	t     *testing.T
	calls chan string // "NAME URI" of each request
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
			<-r.Context().Done() // a watch lasts until the gateway ends it
		}
		_, _ = io.WriteString(w, `{"version":7,"full":true,"servers":[]}`) // the gateway may have closed the connection
	}))
	d.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// expect waits for the next request and checks its service and URI.
func (d *recordingDiscovery) expect(want string) {
	d.t.Helper()
	select {
	case got := <-d.calls:
		if got != want {
			d.t.Fatalf("got request %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		d.t.Fatalf("got no request within 20s, want %q", want)
	}
}

func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// lockedBuffer is a buffer that several goroutines may use at once.
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

// check-config and serve check the operator file too, and report each error with its file, line and key.
func TestOperatorFile(t *testing.T) {
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	file := filepath.Join(t.TempDir(), "op.edn")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("(nats\n (listen \"127.0.0.1:4222\"))")
	if code, out, errOut := run(env, "check-config", "--operator", file); code != 0 ||
		!strings.Contains(out, "nats=127.0.0.1:4222") {
		t.Errorf("check-config: exit code %d, output %q, errors %q, want 0 and the NATS address", code, out, errOut)
	}
	write("(nats\n (listen 1)\n (cluster 2))")
	env["MILLETVANE_OPERATOR"] = file
	for _, args := range [][]string{{"check-config"}, {"serve"}} {
		code, _, errOut := run(env, args...)
		if code == 0 || !strings.Contains(errOut, "op.edn:2: nats.listen") ||
			!strings.Contains(errOut, "op.edn:3: nats.cluster") {
			t.Errorf("%q: exit code %d, errors %q, want a failure with both errors", args, code, errOut)
		}
	}
}

func TestLogFlags(t *testing.T) {
	bad := map[string]string{"PROXY_LISTEN": "x"}
	if code, _, errOut := run(bad, "--log-format", "json", "check-config"); code == 0 || !strings.HasPrefix(errOut, "{") {
		t.Errorf("--log-format json: exit code %d, errors %q, want a failure as JSON", code, errOut)
	}
	if code, _, errOut := run(bad, "--log-level", "loud", "check-config"); code == 0 || !strings.Contains(errOut, "log-level") {
		t.Errorf("--log-level loud: exit code %d, errors %q, want a failure that names log-level", code, errOut)
	}
}

package command

import (
	"bytes"
	"context"
	"strings"
	"testing"
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

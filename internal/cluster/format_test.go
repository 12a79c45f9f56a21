package cluster

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"example.org/milletvane/internal/discovery"
)

// Each recorded message is decoded to the values that stand in it, and encoded to the same bytes again.
func TestRecordedMessagesRoundTrip(t *testing.T) {
	kinds := map[string]int{}
	for _, line := range recorded(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "sent" {
			continue
		}
		var m message
		if err := json.Unmarshal([]byte(f[3]), &m); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		kinds[string(m.Kind)]++
		v := object(t, f[3])
		v.text("k", string(m.Kind))
		v.integer("v", m.Version)
		v.unsigned("h", m.Hash)
		v.integer("i", int64(m.Index))
		v.integer("n", int64(m.Parts))
		v.integer("at", m.UpdatedMS)
		v.integer("up", m.UptimeMS)
		v.integer("now", m.ClockMS)
		v.unsigned("no", m.Sequence)
		v.float("share", m.ShedRatio)
		v.members("s", m.Endpoints)
		v.floats("asked", m.RequestRates)
		v.done()
		again, err := json.Marshal(m)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again as %s (%v), not %s", again, err, f[3])
		}
	}
	if kinds["ask"] == 0 || kinds["part"] < 5 || kinds["tier"] == 0 || len(kinds) != 3 {
		t.Errorf("recorded are %v", kinds)
	}
}

// The same for each record on the disk.
func TestStoredRecordsRoundTrip(t *testing.T) {
	n := 0
	for _, line := range recorded(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "stored" {
			continue
		}
		n++
		var r record
		if err := json.Unmarshal([]byte(f[3]), &r); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		v := object(t, f[3])
		v.integer("at", r.UpdatedMS)
		v.integer("version", r.Version)
		v.boolean("full", r.Complete)
		v.members("servers", r.Endpoints)
		v.done()
		again, err := json.Marshal(r)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again as %s (%v), not %s", again, err, f[3])
		}
	}
	if n != 3 {
		t.Errorf("%d records are recorded", n)
	}
}

// A record of nothing has all its keys, and a message of nothing has its kind alone.
func TestZeroValueEncoding(t *testing.T) {
	for want, v := range map[string]any{
		`{"at":0,"version":0,"full":false,"servers":null}`: record{},
		`{"k":""}`: message{},
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("%s (%v), not %s", got, err, want)
		}
	}
}

// values are those of a JSON object, by key, as they stand in the text. One that is missing is zero.
type values struct {
	t    *testing.T
	left map[string]json.RawMessage
}

func object(t *testing.T, text string) *values {
	t.Helper()
	v := &values{t: t}
	if err := json.Unmarshal([]byte(text), &v.left); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return v
}

// take removes a key and compares its text with a decoded value's.
func (v *values) take(key, zero, got string) {
	v.t.Helper()
	want, ok := v.left[key]
	if !ok {
		want = json.RawMessage(zero)
	}
	delete(v.left, key)
	if got != string(want) {
		v.t.Errorf("%s is %s, decoded as %s", key, want, got)
	}
}

func (v *values) integer(key string, got int64) {
	v.t.Helper()
	v.take(key, "0", strconv.FormatInt(got, 10))
}

func (v *values) unsigned(key string, got uint64) {
	v.t.Helper()
	v.take(key, "0", strconv.FormatUint(got, 10))
}

func (v *values) boolean(key string, got bool) {
	v.t.Helper()
	v.take(key, "false", strconv.FormatBool(got))
}

func (v *values) float(key string, got float64) {
	v.t.Helper()
	want := 0.0
	if text, ok := v.left[key]; ok {
		var err error
		if want, err = strconv.ParseFloat(string(text), 64); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if math.Float64bits(got) != math.Float64bits(want) {
		v.t.Errorf("%s is %v, decoded as %v", key, want, got)
	}
}

func (v *values) text(key, got string) {
	v.t.Helper()
	var want string
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if got != want {
		v.t.Errorf("%s is %q, decoded as %q", key, want, got)
	}
}

func (v *values) floats(key string, got []float64) {
	v.t.Helper()
	var want []float64
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if !slices.Equal(got, want) {
		v.t.Errorf("%s is %v, decoded as %v", key, want, got)
	}
}

func (v *values) members(key string, got []discovery.Endpoint) {
	v.t.Helper()
	var want []json.RawMessage
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if len(got) != len(want) {
		v.t.Fatalf("%s has %d entries, decoded are %d", key, len(want), len(got))
	}
	for i, m := range got {
		e := object(v.t, string(want[i]))
		e.text("id", m.ID)
		e.text("addr", m.Addr)
		e.text("zone", m.Zone)
		e.text("kind", m.Kind)
		e.integer("cell", int64(m.Cell))
		e.text("state", m.State)
		e.float("weight", m.Weight)
		e.integer("started_ms", m.StartedMS)
		e.done()
	}
}

// done fails where a key was looked at by no test.
func (v *values) done() {
	v.t.Helper()
	for _, key := range slices.Sorted(maps.Keys(v.left)) {
		v.t.Errorf("%s=%s is decoded to nothing", key, v.left[key])
	}
}

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

// Each recorded message decodes to the values in its text and encodes to the same bytes again.
func TestRecordedMessagesRoundTrip(t *testing.T) {
	kinds := map[string]int{}
	for _, line := range recordedLines(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "sent" {
			continue
		}
		var m message
		if err := json.Unmarshal([]byte(f[3]), &m); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		kinds[string(m.Kind)]++
		v := parseObject(t, f[3])
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
		v.endpoints("s", m.Endpoints)
		v.floats("asked", m.RequestRates)
		v.checkAllCompared()
		again, err := json.Marshal(m)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again: got %s (error %v), want %s", again, err, f[3])
		}
	}
	if kinds["ask"] == 0 || kinds["part"] < 5 || kinds["tier"] == 0 || len(kinds) != 3 {
		t.Errorf("got recorded messages of the kinds %v, want ask, at least 5 of part, and tier", kinds)
	}
}

// Each recorded record of the log decodes to the values in its text and encodes to the same bytes again.
func TestStoredRecordsRoundTrip(t *testing.T) {
	n := 0
	for _, line := range recordedLines(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "stored" {
			continue
		}
		n++
		var r record
		if err := json.Unmarshal([]byte(f[3]), &r); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		v := parseObject(t, f[3])
		v.integer("at", r.UpdatedMS)
		v.integer("version", r.Version)
		v.boolean("full", r.Complete)
		v.endpoints("servers", r.Endpoints)
		v.checkAllCompared()
		again, err := json.Marshal(r)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again: got %s (error %v), want %s", again, err, f[3])
		}
	}
	if n != 3 {
		t.Errorf("got %d stored records in testdata, want 3", n)
	}
}

// The encoding of a zero record has all keys, and that of a zero message has only the kind.
func TestZeroValueEncoding(t *testing.T) {
	for want, v := range map[string]any{
		`{"at":0,"version":0,"full":false,"servers":null}`: record{},
		`{"k":""}`: message{},
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("got %s (error %v), want %s", got, err, want)
		}
	}
}

// values holds the values of a JSON object by key, as in its text. Each method compares one of these values with a decoded
// value, and removes its key. A missing key counts as the zero value.
type values struct {
	t         *testing.T
	remaining map[string]json.RawMessage
}

// parseObject returns the values of the JSON object in a text.
func parseObject(t *testing.T, text string) *values {
	t.Helper()
	v := &values{t: t}
	if err := json.Unmarshal([]byte(text), &v.remaining); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return v
}

// compareText removes a key and compares its text with that of the decoded value.
func (v *values) compareText(key, zero, got string) {
	v.t.Helper()
	want, ok := v.remaining[key]
	if !ok {
		want = json.RawMessage(zero)
	}
	delete(v.remaining, key)
	if got != string(want) {
		v.t.Errorf("decoded %s: got %s, want %s", key, got, want)
	}
}

func (v *values) integer(key string, got int64) {
	v.t.Helper()
	v.compareText(key, "0", strconv.FormatInt(got, 10))
}

func (v *values) unsigned(key string, got uint64) {
	v.t.Helper()
	v.compareText(key, "0", strconv.FormatUint(got, 10))
}

func (v *values) boolean(key string, got bool) {
	v.t.Helper()
	v.compareText(key, "false", strconv.FormatBool(got))
}

func (v *values) float(key string, got float64) {
	v.t.Helper()
	want := 0.0
	if text, ok := v.remaining[key]; ok {
		var err error
		if want, err = strconv.ParseFloat(string(text), 64); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.remaining, key)
	if math.Float64bits(got) != math.Float64bits(want) {
		v.t.Errorf("decoded %s: got %v, want %v", key, got, want)
	}
}

func (v *values) text(key, got string) {
	v.t.Helper()
	var want string
	if text, ok := v.remaining[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.remaining, key)
	if got != want {
		v.t.Errorf("decoded %s: got %q, want %q", key, got, want)
	}
}

func (v *values) floats(key string, got []float64) {
	v.t.Helper()
	var want []float64
	if text, ok := v.remaining[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.remaining, key)
	if !slices.Equal(got, want) {
		v.t.Errorf("decoded %s: got %v, want %v", key, got, want)
	}
}

func (v *values) endpoints(key string, got []discovery.Endpoint) {
	v.t.Helper()
	var want []json.RawMessage
	if text, ok := v.remaining[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.remaining, key)
	if len(got) != len(want) {
		v.t.Fatalf("decoded %s: got %d entries, want %d", key, len(got), len(want))
	}
	for i, m := range got {
		e := parseObject(v.t, string(want[i]))
		e.text("id", m.ID)
		e.text("addr", m.Addr)
		e.text("zone", m.Zone)
		e.text("kind", m.Kind)
		e.integer("cell", int64(m.Cell))
		e.text("state", m.State)
		e.float("weight", m.Weight)
		e.integer("started_ms", m.StartedMS)
		e.checkAllCompared()
	}
}

// checkAllCompared reports a test error for each key that was not compared.
func (v *values) checkAllCompared() {
	v.t.Helper()
	for _, key := range slices.Sorted(maps.Keys(v.remaining)) {
		v.t.Errorf("key %s with value %s is not decoded", key, v.remaining[key])
	}
}

package metrics

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var updateFormats = flag.Bool("update", false, "write the figures' page of today to testdata")

// checkGolden compares text with a file under testdata, byte for byte.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFormats {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs, got\n%s", path, got)
	}
}

// The figures' page, for each kind of settings and with every figure at another value.
func TestPageGolden(t *testing.T) {
	var got bytes.Buffer
	for _, c := range []struct {
		name    string
		classes []string
	}{
		{"no classes", nil},
		{"one class", []string{"plan-diario"}},
		{"names that would break the form", []string{"a:b|c\nd", "e@f\rg h", "", "é.ü", "other"}},
		{"a class twice", []string{"x", "y", "x"}},
	} {
		s := New(c.classes)
		fmt.Fprintf(&got, "# %s: new\n%s", c.name, s.AppendStatsd(nil))
		for i, name := range append([]string{"of no class", "other"}, c.classes...) {
			class := s.Class(name)
			if class == nil {
				fmt.Fprintf(&got, "%q is not counted\n", name)
				continue
			}
			class.Succeeded.Add(int64(100*i + 1))
			class.Declined.Add(int64(100*i + 2))
			class.Aborted.Add(int64(100*i + 3))
		}
		s.Forwards.Add(1 << 40)
		s.Outstanding.Store(-5)
		s.Discovered.Store(6)
		s.Ejected.Store(7)
		fmt.Fprintf(&got, "# %s: counted\n%s", c.name, s.AppendStatsd([]byte("before\n")))
	}
	fmt.Fprintf(&got, "# prefix\n%s\n", Prefix)
	checkGolden(t, "page.txt", got.Bytes())
}

// What is counted by rank, ranks out of range among them.
func TestRankCountsGolden(t *testing.T) {
	var got bytes.Buffer
	for _, ranks := range []int{1, 2, 5} {
		counts := NewPriorityCounters(ranks)
		for rank := -2; rank < ranks+3; rank++ {
			for range rank + 3 {
				counts.AddOffered(rank)
			}
			for range 2*rank + 6 {
				counts.AddRejected(rank)
			}
			for range 3*rank + 9 {
				counts.AddShed(rank)
			}
		}
		for range 2 {
			asked, refused, cut := counts.TakeCounts()
			fmt.Fprintf(&got, "ranks %d: asked %d refused %d cut %d\n", ranks, asked, refused, cut)
		}
	}
	var none *PriorityCounters
	none.AddOffered(0)
	none.AddRejected(1)
	none.AddShed(2)
	checkGolden(t, "ranks.txt", got.Bytes())
}

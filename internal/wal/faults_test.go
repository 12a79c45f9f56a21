package wal_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"example.org/milletvane/internal/wal"
)

// faultyFS is a file system that fails calls by their number. It records the names of all calls.
type faultyFS struct {
	wal.FS
	calls []string
	fault func(call int) error // returns the error of a call, numbered from 1; nil means the call succeeds
}

func (f *faultyFS) call(name string) error {
	f.calls = append(f.calls, name)
	return f.fault(len(f.calls))
}

func (f *faultyFS) MkdirAll(dir string) error {
	if err := f.call("mkdir"); err != nil {
		return err
	}
	return f.FS.MkdirAll(dir)
}

func (f *faultyFS) List(dir string) ([]string, error) {
	if err := f.call("list"); err != nil {
		return nil, err
	}
	return f.FS.List(dir)
}

func (f *faultyFS) ReadFile(name string) ([]byte, error) {
	if err := f.call("read " + filepath.Base(name)); err != nil {
		return nil, err
	}
	return f.FS.ReadFile(name)
}

func (f *faultyFS) Create(name string) (wal.File, error) {
	if err := f.call("create " + filepath.Base(name)); err != nil {
		return nil, err
	}
	w, err := f.FS.Create(name)
	return &faultyFile{w, f}, err
}

func (f *faultyFS) Append(name string) (wal.File, error) {
	if err := f.call("append " + filepath.Base(name)); err != nil {
		return nil, err
	}
	w, err := f.FS.Append(name)
	return &faultyFile{w, f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if err := f.call("rename " + filepath.Base(from)); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

func (f *faultyFS) Remove(name string) error {
	if err := f.call("remove " + filepath.Base(name)); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

func (f *faultyFS) SyncDir(dir string) error {
	if err := f.call("sync folder"); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.fs.call(fmt.Sprintf("write %d", len(b))); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.fs.call(fmt.Sprintf("truncate %d", size)); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.call("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// formatFault describes an error that calls of a file system return.
type formatFault struct {
	name       string
	err        error
	persistent bool // whether all later calls fail too
}

func formatFaults() []formatFault {
	return []formatFault{
		{"error", syscall.EIO, false},
		{"full", syscall.ENOSPC, false},
		{"errors", syscall.EIO, true},
		{"stays full", syscall.ENOSPC, true},
	}
}

// Guards against changes in how a log handles failed file system calls. Each call fails in turn; the kinds of the returned
// errors and the files that the log leaves must match testdata.
func TestEveryFailedCallHasTheSameResultAsBefore(t *testing.T) {
	t.Parallel()
	opts := withSegments(64)
	script := func(fs wal.FS) string {
		var b strings.Builder
		l, recovered, err := wal.Open(fs, formatDir, opts)
		fmt.Fprintf(&b, "open %s\n", errorKind(err))
		if err != nil {
			return b.String()
		}
		b.WriteString(recoveredText(recovered))
		for i := range 7 {
			n, err := l.Append([]byte(strings.Repeat("record ", i)))
			fmt.Fprintf(&b, "append %d %s\n", n, errorKind(err))
			if i%3 == 2 {
				fmt.Fprintf(&b, "snapshot %s\n", errorKind(l.Snapshot(n, []byte("state"))))
			}
			if i == 4 {
				fmt.Fprintf(&b, "snapshot %s\n", errorKind(l.Snapshot(n-1, []byte("older state"))))
			}
		}
		fmt.Fprintf(&b, "close %s\n", errorKind(l.Close()))
		return b.String()
	}
	torn := writeLog(t, opts, appends("the first of some records", "the second", "the third, in a new file", "the fourth"))
	torn[torn.newest()] = torn[torn.newest()][:len(torn[torn.newest()])-3]
	var all strings.Builder
	for _, base := range []struct {
		name  string
		files formatFiles
	}{{"new", formatFiles{}}, {"torn", torn}} {
		faultless := &faultyFS{FS: diskWith(t, base.files), fault: func(int) error { return nil }}
		fmt.Fprintf(&all, "%s: %s\n", base.name, shortDigest([]byte(script(faultless))))
		for _, call := range faultless.calls {
			fmt.Fprintf(&all, "  %s\n", call)
		}
		for _, fault := range formatFaults() {
			for k := 1; k <= len(faultless.calls); k++ {
				fs := &faultyFS{FS: diskWith(t, base.files), fault: func(call int) error {
					if call == k || fault.persistent && call > k {
						return fault.err
					}
					return nil
				}}
				text := script(fs)
				text += readFiles(t, fs.FS, formatDir).digests() + reopen(t, fs.FS, opts)
				fmt.Fprintf(&all, "%s: %s at call %d %s\n", base.name, fault.name, k, shortDigest([]byte(text)))
			}
		}
	}
	compareGolden(t, "faults.digests", all.String())
}

package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// stateHead is before a state: a segment's head with the number, and the state's length and checksum.
const stateHead = segHead + 8 + 4

// Open opens the journal in a folder, which is made where it is missing, and returns what it holds.
func Open(fs FS, dir string, opts Options) (*FileLog, *RecoveredLog, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = segmentBytes
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	j := &FileLog{fs: fs, dir: dir, opts: opts}
	j.idle.L = &j.mu
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, j.failed(err)
	}
	held, err := j.load()
	if d := new(CorruptionError); errors.As(err, &d) {
		d.QuarantineDir = j.putAside()
		return nil, nil, d
	}
	if err != nil {
		return nil, nil, err
	}
	return j, held, nil
}

// load reads what the folder holds, cuts a torn end off, and leaves the last segment open.
func (j *FileLog) load() (*RecoveredLog, error) {
	names, err := j.fs.List(j.dir)
	if err != nil {
		return nil, j.failed(err)
	}
	l := sorted(names)
	for _, name := range l.others { // a state that was being written
		if strings.HasSuffix(name, tmp) {
			j.fs.Remove(filepath.Join(j.dir, name))
		}
	}
	held := &RecoveredLog{}
	if n := len(l.states); n > 0 {
		held.SnapshotNumber = l.states[n-1]
		if held.Snapshot, err = j.readState(held.SnapshotNumber); err != nil {
			return nil, err
		}
	}
	j.snapshot, j.last = held.SnapshotNumber, held.SnapshotNumber
	// The state holds what came before it: only what follows has to be whole and without a gap.
	from := 0
	for i, first := range l.segments {
		if first <= held.SnapshotNumber+1 {
			from = i
		}
	}
	for i, first := range l.segments[from:] {
		if err := j.readSegment(held, first, from+i == len(l.segments)-1); err != nil {
			return nil, err
		}
	}
	if j.file == nil {
		if err := j.begin(); err != nil {
			return nil, err
		}
	}
	for _, s := range l.states {
		if s != held.SnapshotNumber {
			j.fs.Remove(filepath.Join(j.dir, stateName(s)))
		}
	}
	j.let(0)
	return held, nil
}

// begin makes the first segment, or the one after a state.
func (j *FileLog) begin() error {
	name := filepath.Join(j.dir, segmentName(j.last+1))
	f, err := j.fs.Create(name)
	if err != nil {
		return j.failed(err)
	}
	head := appendSegHead(nil, j.last+1)
	_, err = f.Write(head)
	if err = errors.Join(err, f.Sync(), j.fs.SyncDir(j.dir)); err != nil {
		f.Close()
		return j.failed(err)
	}
	j.file, j.size, j.first = f, int64(len(head)), j.last+1
	return nil
}

func (j *FileLog) readSegment(held *RecoveredLog, first uint64, newest bool) error {
	name := filepath.Join(j.dir, segmentName(first))
	b, err := j.fs.ReadFile(name)
	if err != nil {
		return j.failed(err)
	}
	damage := func(at int, reason string) error {
		return &CorruptionError{File: name, Offset: int64(at), Reason: reason}
	}
	got, v, reason := readSegHead(b)
	switch {
	case v == torn && newest: // it was being begun; nothing in it was acknowledged
		held.TornBytes += int64(len(b))
		return nil
	case v != whole:
		return damage(0, reason)
	case got != first || first > j.last+1:
		return damage(0, fmt.Sprintf("it begins with record %d, where %d is the last one before it", first, j.last))
	}
	at := segHead
	for number := first; at < len(b); number++ {
		record, n, v, reason := readFrame(b[at:], number, at)
		if v == torn && newest {
			break
		}
		if v != whole {
			return damage(at, reason)
		}
		if number > j.last {
			held.Records = append(held.Records, Record{Number: number, Data: record})
			j.last = number
		}
		at += n
	}
	if !newest {
		return nil
	}
	f, err := j.fs.Append(name)
	if err != nil {
		return j.failed(err)
	}
	if cut := len(b) - at; cut > 0 {
		held.TornBytes += int64(cut)
		j.opts.Logger.Warn("cut what a torn write left", "file", name, "at", at, "bytes", cut)
		if err := errors.Join(f.Truncate(int64(at)), f.Sync()); err != nil {
			f.Close()
			return &WriteFailedError{j.dir, err}
		}
	}
	j.file, j.size, j.first = f, int64(at), first
	return nil
}

func (j *FileLog) readState(upTo uint64) ([]byte, error) {
	name := filepath.Join(j.dir, stateName(upTo))
	b, err := j.fs.ReadFile(name)
	if err != nil {
		return nil, j.failed(err)
	}
	// It was renamed into place when it was whole and durable: nothing about it can be torn.
	got, v, reason := readSegHead(b)
	switch {
	case v != whole:
		return nil, &CorruptionError{File: name, Reason: reason}
	case got != upTo || len(b) < stateHead:
		return nil, &CorruptionError{File: name, Reason: "it is of another record, or cut short"}
	}
	state := b[stateHead:]
	if binary.LittleEndian.Uint64(b[segHead:]) != uint64(len(state)) || binary.LittleEndian.Uint32(b[segHead+8:]) != sum(state) {
		return nil, &CorruptionError{File: name, Offset: int64(stateHead), Reason: "the state does not fit its checksum"}
	}
	return slices.Clone(state), nil
}

// putAside moves a damaged store's files into a folder beside it, so that a new one can begin, and names that folder.
func (j *FileLog) putAside() string {
	for i := range 1000 {
		aside := fmt.Sprintf("%s.damaged-%d", j.dir, i+1)
		if names, err := j.fs.List(aside); err == nil && len(names) > 0 {
			continue
		}
		if j.fs.Rename(j.dir, aside) == nil {
			j.fs.SyncDir(filepath.Dir(j.dir))
			return aside
		}
	}
	return ""
}

// tmp ends the name of a file that is being written and is to be renamed.
const tmp = ".tmp"

// writeWhole writes a state so that a stop leaves it whole or not there.
func writeWhole(fs FS, dir string, upTo uint64, state []byte) error {
	b := appendSegHead(nil, upTo)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(state)))
	b = binary.LittleEndian.AppendUint32(b, sum(state))
	return Replace(fs, filepath.Join(dir, stateName(upTo)), append(b, state...))
}

// Replace puts a file in place of another, so that a stop at any point leaves one of the two, whole; it is durable then.
func Replace(fs FS, name string, b []byte) error {
	f, err := fs.Create(name + tmp)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		fs.Remove(name + tmp)
		return err
	}
	if err := fs.Rename(name+tmp, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

// listing is what a folder holds, in order.
type listing struct {
	segments, states []uint64
	others           []string
}

func sorted(names []string) (l listing) {
	for _, name := range names {
		kind, hex, _ := strings.Cut(name, "-")
		n, err := strconv.ParseUint(hex, 16, 64)
		switch {
		case err != nil || len(hex) != 16:
			l.others = append(l.others, name)
		case kind == "journal":
			l.segments = append(l.segments, n)
		case kind == "state":
			l.states = append(l.states, n)
		default:
			l.others = append(l.others, name)
		}
	}
	slices.Sort(l.segments)
	slices.Sort(l.states)
	return l
}

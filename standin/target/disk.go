package target

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"chervilspan.example/standin/repl"
)

// disk stores the log and the durable state in a directory; with an empty
// directory name it stores nothing. Writes reach the kernel before an answer is
// sent but are not synced, so they survive a crash of the process but not of
// the machine.
type disk struct {
	dir string
	log *os.File
}

// openDisk creates the directory if needed, and returns the durable state and
// the log that it holds.
func openDisk(dir string) (*disk, repl.Durable, []repl.Entry, error) {
	d := &disk{dir: dir}
	var meta repl.Durable
	if dir == "" {
		return d, meta, nil, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, meta, nil, storageError(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "meta.json"))
	if err == nil {
		err = json.Unmarshal(raw, &meta)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, meta, nil, storageError(err)
	}
	entries, err := readEntries(filepath.Join(dir, "log.jsonl"))
	if err != nil {
		return nil, meta, nil, storageError(err)
	}
	// The log is rewritten to remove the incomplete last line that a killed
	// process can leave.
	if err := d.rewriteLog(entries); err != nil {
		return nil, meta, nil, err
	}
	return d, meta, entries, nil
}

func readEntries(name string) ([]repl.Entry, error) {
	f, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []repl.Entry
	r := bufio.NewReader(f)
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		var e repl.Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
}

func (d *disk) saveMeta(m repl.Durable) error {
	if d.dir == "" {
		return nil
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return storageError(err)
	}
	name := filepath.Join(d.dir, "meta.json")
	if err := os.WriteFile(name+".new", raw, 0o644); err != nil {
		return storageError(err)
	}
	if err := os.Rename(name+".new", name); err != nil {
		return storageError(err)
	}
	return nil
}

func (d *disk) appendEntries(entries []repl.Entry) error {
	if d.dir == "" || len(entries) == 0 {
		return nil
	}
	raw, err := encodeEntries(entries)
	if err != nil {
		return err
	}
	if _, err := d.log.Write(raw); err != nil {
		return storageError(err)
	}
	return nil
}

// rewriteLog replaces the whole log.
func (d *disk) rewriteLog(entries []repl.Entry) error {
	if d.dir == "" {
		return nil
	}
	raw, err := encodeEntries(entries)
	if err != nil {
		return err
	}
	name := filepath.Join(d.dir, "log.jsonl")
	if err := os.WriteFile(name+".new", raw, 0o644); err != nil {
		return storageError(err)
	}
	if err := os.Rename(name+".new", name); err != nil {
		return storageError(err)
	}
	if d.log != nil {
		_ = d.log.Close()
	}
	if d.log, err = os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return storageError(err)
	}
	return nil
}

func (d *disk) close() {
	if d.log != nil {
		_ = d.log.Close()
	}
}

func encodeEntries(entries []repl.Entry) ([]byte, error) {
	var out []byte
	for i := range entries {
		raw, err := json.Marshal(&entries[i])
		if err != nil {
			return nil, storageError(err)
		}
		out = append(append(out, raw...), '\n')
	}
	return out, nil
}

func storageError(err error) error {
	return &Error{Op: "store", Kind: KindStorage, Text: err.Error()}
}

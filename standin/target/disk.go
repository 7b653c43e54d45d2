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

// disk keeps the log and the promises in a directory. With an empty directory
// name it keeps nothing. Writes reach the kernel before an answer, so they
// survive the process but not the machine.
type disk struct {
	dir string
	log *os.File
}

func openDisk(dir string) (*disk, repl.Durable, []repl.Entry, error) {
	d := &disk{dir: dir}
	var meta repl.Durable
	if dir == "" {
		return d, meta, nil, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, meta, nil, diskError(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "meta.json"))
	if err == nil {
		err = json.Unmarshal(raw, &meta)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, meta, nil, diskError(err)
	}
	entries, err := readEntries(filepath.Join(dir, "log.jsonl"))
	if err != nil {
		return nil, meta, nil, diskError(err)
	}
	// Written anew, so that half a line of a killed process does not stay.
	if err := d.rewrite(entries); err != nil {
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
		return diskError(err)
	}
	name := filepath.Join(d.dir, "meta.json")
	if err := os.WriteFile(name+".new", raw, 0o644); err != nil {
		return diskError(err)
	}
	if err := os.Rename(name+".new", name); err != nil {
		return diskError(err)
	}
	return nil
}

func (d *disk) add(entries []repl.Entry) error {
	if d.dir == "" || len(entries) == 0 {
		return nil
	}
	raw, err := lines(entries)
	if err != nil {
		return err
	}
	if _, err := d.log.Write(raw); err != nil {
		return diskError(err)
	}
	return nil
}

// rewrite replaces the whole log.
func (d *disk) rewrite(entries []repl.Entry) error {
	if d.dir == "" {
		return nil
	}
	raw, err := lines(entries)
	if err != nil {
		return err
	}
	name := filepath.Join(d.dir, "log.jsonl")
	if err := os.WriteFile(name+".new", raw, 0o644); err != nil {
		return diskError(err)
	}
	if err := os.Rename(name+".new", name); err != nil {
		return diskError(err)
	}
	if d.log != nil {
		_ = d.log.Close()
	}
	if d.log, err = os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return diskError(err)
	}
	return nil
}

func (d *disk) close() {
	if d.log != nil {
		_ = d.log.Close()
	}
}

func lines(entries []repl.Entry) ([]byte, error) {
	var out []byte
	for i := range entries {
		raw, err := json.Marshal(&entries[i])
		if err != nil {
			return nil, diskError(err)
		}
		out = append(append(out, raw...), '\n')
	}
	return out, nil
}

func diskError(err error) error {
	return &Error{Op: "store", Kind: KindStorage, Text: err.Error()}
}

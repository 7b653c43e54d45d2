package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/catal"
)

// fetch returns a version of the catalogue; 0 is the one in force. There may
// be none, then the version and the document are empty.
func (c *command) fetch(ctx context.Context, op string, version uint64) (*adminpb.GetCatalogueReply, error) {
	client, err := c.client(op)
	if err != nil {
		return nil, err
	}
	reply, err := client.GetCatalogue(ctx, &adminpb.GetCatalogueRequest{Version: version})
	if err != nil {
		return nil, failed(op, err)
	}
	return reply, nil
}

func indent(doc []byte) []byte {
	var b bytes.Buffer
	if json.Indent(&b, doc, "", "  ") != nil {
		return doc
	}
	return append(b.Bytes(), '\n')
}

func (c *command) get(ctx context.Context, a *getArgs) error {
	reply, err := c.fetch(ctx, "get", a.Version)
	if err != nil {
		return err
	}
	if reply.Version == 0 {
		return failed("get", errors.New("there is no catalogue yet; make one with apply"))
	}
	if a.Output == "" {
		_, err = c.env.Out.Write(indent(reply.Document))
		return err
	}
	if err := os.WriteFile(a.Output, indent(reply.Document), 0o600); err != nil {
		return failed("get", err)
	}
	return nil
}

func (c *command) readFile(op, name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(c.env.In)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, badInput(op, err.Error())
	}
	return data, nil
}

// parse reads a document and names each problem with its file and line.
func parse(op, name string, data []byte) (*catal.Catalogue, error) {
	cat, err := catal.Read(data)
	var bad *catal.Error
	if !errors.As(err, &bad) {
		return cat, err
	}
	lines := make([]string, len(bad.Problems))
	for i, p := range bad.Problems {
		lines[i] = name + ": " + p.String()
	}
	return nil, badInput(op, lines...)
}

func (c *command) validate(a *validateArgs) error {
	data, err := c.readFile("validate", a.File)
	if err != nil {
		return err
	}
	cat, err := parse("validate", a.File, data)
	if err != nil {
		return err
	}
	return c.print(map[string]any{"valid": true, "version": cat.Version}, a.File+" is valid\n")
}

func (c *command) apply(ctx context.Context, a *applyArgs) error {
	data, err := c.readFile("apply", a.File)
	if err != nil {
		return err
	}
	cat, err := parse("apply", a.File, data)
	if err != nil {
		return err
	}
	base := uint64(cat.Version)
	if a.Base != nil {
		base = *a.Base
	}
	version, err := c.store(ctx, "apply", base, data, a.waitArgs)
	if err != nil {
		return err
	}
	return c.finish(ctx, "apply", version, a.waitArgs)
}

// store replaces the catalogue. After a lost race the error shows what won.
func (c *command) store(ctx context.Context, op string, base uint64, doc []byte, w waitArgs) (uint64, error) {
	client, err := c.client(op)
	if err != nil {
		return 0, err
	}
	reply, err := client.ApplyCatalogue(ctx, &adminpb.ApplyCatalogueRequest{
		BaseVersion: base, Document: doc, Operator: c.args.Operator, Comment: w.Comment,
	})
	switch {
	case err != nil:
		return 0, failed(op, err)
	case len(reply.Errors) > 0:
		return 0, badInput(op, reply.Errors...)
	case !reply.Accepted:
		return 0, lostRace(op, base, doc, reply)
	case !reply.Confirmed && !c.args.JSON:
		_, _ = fmt.Fprintf(c.env.Err, "chervilctl: %s: version %d is stored, but no other VM has confirmed it yet; status shows where it is in force\n", op, reply.Version)
	}
	return reply.Version, nil
}

func lostRace(op string, base uint64, doc []byte, r *adminpb.ApplyCatalogueReply) error {
	lines := []string{fmt.Sprintf("the catalogue is at version %d by %q, the edit started from version %d", r.Version, r.WonOperator, base)}
	if len(r.Won) > 0 {
		won, err := catal.Read(r.Won)
		mine, err2 := catal.Read(doc)
		if err == nil && err2 == nil {
			if changes, err := catal.Diff(won, mine); err == nil {
				for _, ch := range changes {
					lines = append(lines, "yours against it: "+ch.String())
				}
			}
		}
	}
	return &Error{Op: op, Kind: KindLostRace, Lines: lines}
}

// result is what edits print with --json.
type result struct {
	Version uint64 `json:"version"`
	Key     string `json:"key,omitempty"`
	KeyID   string `json:"key_id,omitempty"`
	InForce bool   `json:"in_force"`
}

func (c *command) finish(ctx context.Context, op string, version uint64, w waitArgs) error {
	if w.Wait {
		if err := c.wait(ctx, op, version, w.Timeout); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("version %d stored\n", version)
	if w.Wait {
		text = fmt.Sprintf("version %d in force on all VMs\n", version)
	}
	return c.print(result{Version: version, InForce: w.Wait}, text)
}

func (c *command) edit(ctx context.Context, a *editArgs) error {
	now, err := c.fetch(ctx, "edit", 0)
	if err != nil {
		return err
	}
	before := indent(now.Document)
	f, err := os.CreateTemp("", "catalogue-*.json")
	if err != nil {
		return failed("edit", err)
	}
	name := f.Name()
	_, err = f.Write(before)
	if err = errors.Join(err, f.Close()); err != nil {
		return failed("edit", err)
	}
	if err := c.env.Edit(ctx, name); err != nil {
		return failed("edit", fmt.Errorf("the editor failed, the file is %s: %w", name, err))
	}
	after, err := os.ReadFile(name)
	if err != nil {
		return failed("edit", err)
	}
	if bytes.Equal(before, after) {
		_ = os.Remove(name)
		return c.print(result{Version: now.Version}, "nothing was changed\n")
	}
	// The file stays when the edit fails, so that the work is not lost.
	if _, err := parse("edit", name, after); err != nil {
		return err
	}
	version, err := c.store(ctx, "edit", now.Version, after, a.waitArgs)
	if err != nil {
		var e *Error
		if errors.As(err, &e) {
			e.Lines = append(e.Lines, "the edited file is kept as "+name)
		}
		return err
	}
	_ = os.Remove(name)
	return c.finish(ctx, "edit", version, a.waitArgs)
}

func (c *command) diff(ctx context.Context, a *diffArgs) error {
	if (a.File == "") == (a.Version == 0) {
		return badInput("diff", "either --file or --version is needed")
	}
	now, err := c.fetch(ctx, "diff", 0)
	if err != nil {
		return err
	}
	old, next := &catal.Catalogue{}, &catal.Catalogue{}
	if now.Version > 0 {
		if old, err = parse("diff", "the catalogue in force", now.Document); err != nil {
			return err
		}
	}
	if a.File != "" {
		data, err := c.readFile("diff", a.File)
		if err != nil {
			return err
		}
		if next, err = parse("diff", a.File, data); err != nil {
			return err
		}
	} else {
		former, err := c.fetch(ctx, "diff", a.Version)
		if err != nil {
			return err
		}
		next = old
		if old, err = parse("diff", "the former version", former.Document); err != nil {
			return err
		}
	}
	changes, err := catal.Diff(old, next)
	if err != nil {
		return failed("diff", err)
	}
	if changes == nil {
		changes = []catal.Change{}
	}
	return c.print(changes, catal.FormatChanges(changes))
}

func (c *command) history(ctx context.Context, a *historyArgs) error {
	client, err := c.client("history")
	if err != nil {
		return err
	}
	reply, err := client.ListHistory(ctx, &adminpb.ListHistoryRequest{Limit: a.Limit})
	if err != nil {
		return failed("history", err)
	}
	type entry struct {
		Version  uint64    `json:"version"`
		Time     time.Time `json:"time"`
		Operator string    `json:"operator"`
		Comment  string    `json:"comment"`
	}
	list := []entry{}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VERSION\tTIME\tOPERATOR\tCOMMENT")
	for _, e := range reply.Entries {
		at := time.UnixMilli(e.UnixMs).UTC()
		list = append(list, entry{e.Version, at, e.Operator, e.Comment})
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Version, at.Format(time.RFC3339), e.Operator, e.Comment)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return c.print(list, b.String())
}

func (c *command) rollback(ctx context.Context, a *rollbackArgs) error {
	now, err := c.fetch(ctx, "rollback", 0)
	if err != nil {
		return err
	}
	former, err := c.fetch(ctx, "rollback", a.Version)
	if err != nil {
		return err
	}
	w := a.waitArgs
	if w.Comment == "" {
		w.Comment = fmt.Sprintf("rollback to version %d", a.Version)
	}
	version, err := c.store(ctx, "rollback", now.Version, former.Document, w)
	if err != nil {
		return err
	}
	return c.finish(ctx, "rollback", version, w)
}

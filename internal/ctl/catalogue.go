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

// fetchCatalogue returns a version of the catalogue; 0 is the one in force. When no
// catalogue is in force, the reply's version is 0 and its document is empty.
func (c *command) fetchCatalogue(ctx context.Context, op string, version uint64) (*adminpb.GetCatalogueReply, error) {
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
	reply, err := c.fetchCatalogue(ctx, "get", a.Version)
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

// parseDocument reads a document. Its error has a line for each problem, with the
// name of the file and the line in it.
func parseDocument(op, name string, data []byte) (*catal.Catalogue, error) {
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
	cat, err := parseDocument("validate", a.File, data)
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
	cat, err := parseDocument("apply", a.File, data)
	if err != nil {
		return err
	}
	base := uint64(cat.Version)
	if a.Base != nil {
		base = *a.Base
	}
	version, err := c.replaceCatalogue(ctx, "apply", base, data, a.editOptions)
	if err != nil {
		return err
	}
	return c.printVersion(ctx, "apply", version, a.editOptions)
}

// replaceCatalogue stores a document as the version after base and returns the new
// version. After a lost race the error shows the differences to the version that won.
func (c *command) replaceCatalogue(ctx context.Context, op string, base uint64, doc []byte, opts editOptions) (uint64, error) {
	client, err := c.client(op)
	if err != nil {
		return 0, err
	}
	reply, err := client.ApplyCatalogue(ctx, &adminpb.ApplyCatalogueRequest{
		BaseVersion: base, Document: doc, Operator: c.args.Operator, Comment: opts.Comment,
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

// lostRace returns the error for an edit that started from an outdated version.
func lostRace(op string, base uint64, doc []byte, r *adminpb.ApplyCatalogueReply) error {
	lines := []string{fmt.Sprintf("the catalogue is at version %d by %q, the edit started from version %d", r.Version, r.WonOperator, base)}
	if len(r.Won) > 0 {
		won, err := catal.Read(r.Won)
		mine, err2 := catal.Read(doc)
		if err == nil && err2 == nil {
			if changes, err := catal.Diff(won, mine); err == nil {
				for _, ch := range changes {
					lines = append(lines, "your edit against it: "+ch.String())
				}
			}
		}
	}
	return &Error{Op: op, Kind: KindLostRace, Lines: lines}
}

// editResult is the JSON output of commands that edit the catalogue.
type editResult struct {
	Version uint64 `json:"version"`
	Key     string `json:"key,omitempty"`
	KeyID   string `json:"key_id,omitempty"`
	InForce bool   `json:"in_force"`
}

// printVersion prints a stored version, with --wait after it is in force on all VMs.
func (c *command) printVersion(ctx context.Context, op string, version uint64, opts editOptions) error {
	if opts.Wait {
		if err := c.waitInForce(ctx, op, version, opts.Timeout); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("version %d stored\n", version)
	if opts.Wait {
		text = fmt.Sprintf("version %d in force on all VMs\n", version)
	}
	return c.print(editResult{Version: version, InForce: opts.Wait}, text)
}

func (c *command) edit(ctx context.Context, a *editArgs) error {
	current, err := c.fetchCatalogue(ctx, "edit", 0)
	if err != nil {
		return err
	}
	before := indent(current.Document)
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
		return failed("edit", fmt.Errorf("the editor failed, the file is kept as %s: %w", name, err))
	}
	after, err := os.ReadFile(name)
	if err != nil {
		return failed("edit", err)
	}
	if bytes.Equal(before, after) {
		_ = os.Remove(name)
		return c.print(editResult{Version: current.Version}, "nothing was changed\n")
	}
	// The file is kept when the edit fails, so that the operator's work is not lost.
	if _, err := parseDocument("edit", name, after); err != nil {
		return err
	}
	version, err := c.replaceCatalogue(ctx, "edit", current.Version, after, a.editOptions)
	if err != nil {
		var e *Error
		if errors.As(err, &e) {
			e.Lines = append(e.Lines, "the edited file is kept as "+name)
		}
		return err
	}
	_ = os.Remove(name)
	return c.printVersion(ctx, "edit", version, a.editOptions)
}

func (c *command) diff(ctx context.Context, a *diffArgs) error {
	if (a.File == "") == (a.Version == 0) {
		return badInput("diff", "either --file or --version is needed")
	}
	current, err := c.fetchCatalogue(ctx, "diff", 0)
	if err != nil {
		return err
	}
	old, next := &catal.Catalogue{}, &catal.Catalogue{}
	if current.Version > 0 {
		if old, err = parseDocument("diff", "the catalogue in force", current.Document); err != nil {
			return err
		}
	}
	if a.File != "" {
		data, err := c.readFile("diff", a.File)
		if err != nil {
			return err
		}
		if next, err = parseDocument("diff", a.File, data); err != nil {
			return err
		}
	} else {
		former, err := c.fetchCatalogue(ctx, "diff", a.Version)
		if err != nil {
			return err
		}
		next = old
		if old, err = parseDocument("diff", "the former version", former.Document); err != nil {
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
	current, err := c.fetchCatalogue(ctx, "rollback", 0)
	if err != nil {
		return err
	}
	former, err := c.fetchCatalogue(ctx, "rollback", a.Version)
	if err != nil {
		return err
	}
	opts := a.editOptions
	if opts.Comment == "" {
		opts.Comment = fmt.Sprintf("rollback to version %d", a.Version)
	}
	version, err := c.replaceCatalogue(ctx, "rollback", current.Version, former.Document, opts)
	if err != nil {
		return err
	}
	return c.printVersion(ctx, "rollback", version, opts)
}

package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

const sample = `{
  "zones": {"z": {"region": "r"}},
  "groups": {"g": {"owner": "o", "targets": {"a": {"address": "127.0.0.1:1", "zone": "z", "slots": 1, "connections": 1}}}},
  "workspaces": {"w": {"owner": "o", "rate": 1, "burst": 1}}
}
`

// daemon is a daemon with its versions, in memory.
type daemon struct {
	adminpb.AdminClient
	versions [][]byte
	vms      []*adminpb.VMStatus
	// later, when set, changes the VMs at each status.
	later func()
	// before runs before each apply, as another operator.
	before func()
	err    error
}

func (d *daemon) GetCatalogue(_ context.Context, r *adminpb.GetCatalogueRequest, _ ...grpc.CallOption) (*adminpb.GetCatalogueReply, error) {
	v := r.Version
	if v == 0 {
		v = uint64(len(d.versions))
	}
	if v == 0 || d.err != nil {
		return &adminpb.GetCatalogueReply{}, d.err
	}
	return &adminpb.GetCatalogueReply{Version: v, Document: d.versions[v-1]}, nil
}

func (d *daemon) ApplyCatalogue(_ context.Context, r *adminpb.ApplyCatalogueRequest, _ ...grpc.CallOption) (*adminpb.ApplyCatalogueReply, error) {
	if d.err != nil {
		return nil, d.err
	}
	if d.before != nil {
		d.before()
	}
	if int(r.BaseVersion) != len(d.versions) {
		return &adminpb.ApplyCatalogueReply{Version: uint64(len(d.versions)), Won: d.versions[len(d.versions)-1], WonOperator: "bo"}, nil
	}
	d.add(r.Document)
	return &adminpb.ApplyCatalogueReply{Accepted: true, Confirmed: true, Version: uint64(len(d.versions))}, nil
}

func (d *daemon) add(doc []byte) {
	c, err := catal.Read(doc)
	if err != nil {
		panic(err)
	}
	c.Version = ident.Version(len(d.versions) + 1)
	raw, err := catal.Encode(c)
	if err != nil {
		panic(err)
	}
	d.versions = append(d.versions, raw)
}

func (d *daemon) ListHistory(context.Context, *adminpb.ListHistoryRequest, ...grpc.CallOption) (*adminpb.ListHistoryReply, error) {
	return &adminpb.ListHistoryReply{Entries: []*adminpb.HistoryEntry{{Version: 1, Operator: "ana", Comment: "first"}}}, d.err
}

func (d *daemon) Status(context.Context, *adminpb.StatusRequest, ...grpc.CallOption) (*adminpb.StatusReply, error) {
	if d.later != nil {
		d.later()
	}
	return &adminpb.StatusReply{Vms: d.vms}, d.err
}

func (d *daemon) Drain(context.Context, *adminpb.DrainRequest, ...grpc.CallOption) (*adminpb.DrainReply, error) {
	return &adminpb.DrainReply{Sessions: 4}, d.err
}

// runs a command line and returns the exit status and both outputs.
func (d *daemon) run(t *testing.T, argv ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	env := Env{In: strings.NewReader(sample), Out: &o, Err: &e, Dial: func(string) (adminpb.AdminClient, error) { return d, nil }}
	env.Edit = func(_ context.Context, path string) error {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, bytes.Replace(data, []byte(`"rate": 1`), []byte(`"rate": 2`), 1), 0o600)
	}
	code = Main(t.Context(), argv, env)
	return code, o.String(), e.String()
}

func withSample() *daemon {
	d := &daemon{}
	d.add([]byte(sample))
	return d
}

// TestExitStatus guards against scripts that can't tell a lost race or bad
// input from a failure.
func TestExitStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"zones": {}, "speed": 1}`), 0o600))
	down := withSample()
	down.err = status.Error(codes.Unavailable, "the store did not answer")
	for _, test := range []struct {
		name string
		d    *daemon
		argv string
		want int
		text string
	}{
		{"apply", &daemon{}, "apply -f - --base 0", ExitDone, "version 1 stored"},
		{"base of the file", withSample(), "apply -f -", ExitLostRace, `chervilctl: apply: the catalogue is at version 1 by "bo", the edit started from version 0`},
		{"no such file", withSample(), "apply -f nosuchfile", ExitBadInput, "no such file"},
		{"bad document", withSample(), "apply -f " + bad, ExitBadInput, "/speed: unknown field"},
		{"valid", &daemon{}, "validate -f -", ExitDone, "- is valid"},
		{"store down", down, "apply -f - --base 1", ExitFailed, "chervilctl: apply: the store did not answer"},
		{"unknown command", &daemon{}, "frobnicate", ExitBadInput, "invalid subcommand"},
		{"no command", &daemon{}, "", ExitBadInput, "a command is missing"},
		{"help", &daemon{}, "--help", ExitDone, "3 lost race"},
		{"no catalogue", &daemon{}, "get", ExitFailed, "no catalogue yet"},
		{"get", withSample(), "get", ExitDone, `"version": 1`},
		{"history", withSample(), "history", ExitDone, "ana"},
		{"workspace unknown", withSample(), "keys give nobody", ExitBadInput, `workspace "nobody" is not in the catalogue`},
		{"key unknown", withSample(), "keys withdraw w k1", ExitBadInput, `has no key "k1"`},
		{"vm unknown", withSample(), "drain vm-9", ExitBadInput, `VM "vm-9" is not known`},
		{"drain", withSample(), "drain", ExitDone, "4 sessions"},
		{"diff", withSample(), "diff -f -", ExitDone, ""},
		{"diff without a side", withSample(), "diff", ExitBadInput, "either --file or --version"},
		{"rollback", withSample(), "rollback 1", ExitDone, "version 2 stored"},
		{"shell", withSample(), "completion fish", ExitBadInput, "allowed: bash"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := test.d.run(t, strings.Fields(test.argv)...)
			is.Equal(code, test.want)
			is.True(strings.Contains(out+errs, test.text))
		})
	}
}

// TestJSON guards against output that scripts can't read.
func TestJSON(t *testing.T) {
	for _, argv := range []string{"get", "apply -f - --base 1", "diff -f -", "validate -f -", "history", "keys list", "keys give w", "status", "top --count 1", "drain", "rollback 1", "apply -f nosuchfile"} {
		t.Run(argv, func(t *testing.T) {
			is := is.New(t)
			d := withSample()
			d.vms = []*adminpb.VMStatus{{Vm: "a"}}
			_, out, errs := d.run(t, append([]string{"--json"}, strings.Fields(argv)...)...)
			var v any
			is.NoErr(json.Unmarshal([]byte(out+errs), &v))
		})
	}
}

// TestKeys guards against a given key that doesn't work, a key in clear text
// in the catalogue, and a withdrawn key that stays valid.
func TestKeys(t *testing.T) {
	is := is.New(t)
	d := withSample()
	code, out, errs := d.run(t, "keys", "give", "w", "--id", "k1", "--label", "office", "--expires", "1h")
	is.Equal(code, ExitDone)
	is.Equal(errs, "")
	key := strings.TrimSpace(out)
	c, err := catal.Read(d.versions[1])
	is.NoErr(err)
	k := c.Workspaces["w"].Keys["k1"]
	is.True(k.Matches(key))
	is.True(k.Usable(time.Now()) && !k.Usable(time.Now().Add(2*time.Hour)))
	is.True(!bytes.Contains(d.versions[1], []byte(key)))
	code, _, _ = d.run(t, "keys", "give", "w", "--id", "k1")
	is.Equal(code, ExitBadInput)
	code, _, _ = d.run(t, "keys", "withdraw", "w", "k1")
	is.Equal(code, ExitDone)
	_, out, _ = d.run(t, "keys", "list")
	is.True(strings.Contains(out, "withdrawn"))
	is.True(!strings.Contains(out, key))
}

// TestKeyRace guards against a key that isn't stored because another operator
// edited something else meanwhile.
func TestKeyRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := withSample()
		races := 0
		d.before = func() {
			if races < 2 {
				races++
				d.add([]byte(strings.Replace(sample, `"rate": 1`, `"rate": 7`, 1)))
			}
		}
		code, _, _ := d.run(t, "keys", "give", "w", "--id", "k1")
		is.Equal(code, ExitDone)
		c, err := catal.Read(d.versions[3])
		is.NoErr(err)
		is.Equal(len(c.Workspaces["w"].Keys), 1)
		is.Equal(c.Workspaces["w"].Rate, 7.0) // the other operator's edit stays
	})
}

// TestEdit guards against an edit that overwrites another operator's, and
// against work that is lost with it.
func TestEdit(t *testing.T) {
	is := is.New(t)
	t.Setenv("TMPDIR", t.TempDir())
	d := withSample()
	code, _, _ := d.run(t, "edit")
	is.Equal(code, ExitDone)
	is.True(bytes.Contains(d.versions[1], []byte(`"rate":2`)))

	d = withSample()
	d.before = func() { d.add([]byte(strings.Replace(sample, `"burst": 1`, `"burst": 9`, 1))) }
	code, _, errs := d.run(t, "edit")
	is.Equal(code, ExitLostRace)
	is.True(strings.Contains(errs, "~ /workspaces/w/burst 9 -> 1"))
	_, name, ok := strings.Cut(errs, "kept as ")
	is.True(ok)
	kept, err := os.ReadFile(strings.TrimSpace(name))
	is.NoErr(err)
	is.True(bytes.Contains(kept, []byte(`"rate": 2`)))
}

// TestWait guards against a wait that ends before a VM has the version, and
// against one that doesn't name the VMs that lack it.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := withSample()
		d.vms = []*adminpb.VMStatus{
			{Vm: "a", Reachable: true, Version: 2},
			{Vm: "b", Reachable: true, Version: 1},
			{Vm: "c", State: "suspect"},
			{Vm: "d", State: "dead"},
		}
		code, _, errs := d.run(t, "apply", "-f", "-", "--base", "1", "--wait", "--timeout", "5s")
		is.Equal(code, ExitFailed)
		is.True(strings.Contains(errs, "version 2 in force on 1 of 3 VMs; not on b (version 1), c (not reachable); dead and not waited for: d"))
		is.True(strings.Contains(errs, "after 5s it is not in force on b (version 1), c (not reachable)"))

		d = withSample()
		d.vms = []*adminpb.VMStatus{{Vm: "a", Reachable: true}}
		begin := time.Now()
		d.later = func() {
			if time.Since(begin) >= 3*time.Second {
				d.vms[0].Version = 2
			}
		}
		code, out, _ := d.run(t, "apply", "-f", "-", "--base", "1", "--wait")
		is.Equal(code, ExitDone)
		is.True(time.Since(begin) >= 3*time.Second)
		is.True(strings.Contains(out, "version 2 in force on all VMs"))
	})
}

// TestCompletion guards against a script that bash can't read.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	_, script, _ := withSample().run(t, "completion", "bash")
	cmd := exec.Command("bash", "-c", script+"\nCOMP_WORDS=(chervilctl keys gi); COMP_CWORD=2; _chervilctl; echo ${COMPREPLY[@]}")
	out, err := cmd.Output()
	var missing *exec.Error
	if errors.As(err, &missing) {
		t.Skip("bash is not there")
	}
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(out)), "give")
}

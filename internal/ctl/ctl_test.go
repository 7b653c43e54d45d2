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

// fakeDaemon is an AdminClient with the versions of a catalogue in memory.
type fakeDaemon struct {
	adminpb.AdminClient
	versions [][]byte
	vms      []*adminpb.VMStatus
	// onStatus, when set, runs before each status call and may change vms.
	onStatus func()
	// beforeApply, when set, runs before each apply, as another operator's edit.
	beforeApply func()
	err         error
}

func (d *fakeDaemon) GetCatalogue(_ context.Context, r *adminpb.GetCatalogueRequest, _ ...grpc.CallOption) (*adminpb.GetCatalogueReply, error) {
	v := r.Version
	if v == 0 {
		v = uint64(len(d.versions))
	}
	if v == 0 || d.err != nil {
		return &adminpb.GetCatalogueReply{}, d.err
	}
	return &adminpb.GetCatalogueReply{Version: v, Document: d.versions[v-1]}, nil
}

func (d *fakeDaemon) ApplyCatalogue(_ context.Context, r *adminpb.ApplyCatalogueRequest, _ ...grpc.CallOption) (*adminpb.ApplyCatalogueReply, error) {
	if d.err != nil {
		return nil, d.err
	}
	if d.beforeApply != nil {
		d.beforeApply()
	}
	if int(r.BaseVersion) != len(d.versions) {
		return &adminpb.ApplyCatalogueReply{Version: uint64(len(d.versions)), Won: d.versions[len(d.versions)-1], WonOperator: "bo"}, nil
	}
	d.addVersion(r.Document)
	return &adminpb.ApplyCatalogueReply{Accepted: true, Confirmed: true, Version: uint64(len(d.versions))}, nil
}

func (d *fakeDaemon) addVersion(doc []byte) {
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

func (d *fakeDaemon) ListHistory(context.Context, *adminpb.ListHistoryRequest, ...grpc.CallOption) (*adminpb.ListHistoryReply, error) {
	return &adminpb.ListHistoryReply{Entries: []*adminpb.HistoryEntry{{Version: 1, Operator: "ana", Comment: "first"}}}, d.err
}

func (d *fakeDaemon) Status(context.Context, *adminpb.StatusRequest, ...grpc.CallOption) (*adminpb.StatusReply, error) {
	if d.onStatus != nil {
		d.onStatus()
	}
	return &adminpb.StatusReply{Vms: d.vms}, d.err
}

func (d *fakeDaemon) Drain(context.Context, *adminpb.DrainRequest, ...grpc.CallOption) (*adminpb.DrainReply, error) {
	return &adminpb.DrainReply{Sessions: 4}, d.err
}

// run runs a command line and returns the exit status and both outputs. Its editor
// changes the rate from 1 to 2.
func (d *fakeDaemon) run(t *testing.T, argv ...string) (code int, out, errs string) {
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

func newSampleDaemon() *fakeDaemon {
	d := &fakeDaemon{}
	d.addVersion([]byte(sample))
	return d
}

// TestExitStatus guards against exit statuses and messages by which scripts can't
// tell a lost race or bad input from a failure.
func TestExitStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"zones": {}, "speed": 1}`), 0o600))
	down := newSampleDaemon()
	down.err = status.Error(codes.Unavailable, "the store did not answer")
	for _, test := range []struct {
		name string
		d    *fakeDaemon
		argv string
		want int
		text string
	}{
		{"apply", &fakeDaemon{}, "apply -f - --base 0", ExitDone, "version 1 stored"},
		{"base of the file", newSampleDaemon(), "apply -f -", ExitLostRace, `chervilctl: apply: the catalogue is at version 1 by "bo", the edit started from version 0`},
		{"no such file", newSampleDaemon(), "apply -f nosuchfile", ExitBadInput, "no such file"},
		{"bad document", newSampleDaemon(), "apply -f " + bad, ExitBadInput, "/speed: unknown field"},
		{"valid", &fakeDaemon{}, "validate -f -", ExitDone, "- is valid"},
		{"store down", down, "apply -f - --base 1", ExitFailed, "chervilctl: apply: the store did not answer"},
		{"unknown command", &fakeDaemon{}, "frobnicate", ExitBadInput, "invalid subcommand"},
		{"no command", &fakeDaemon{}, "", ExitBadInput, "a command is missing"},
		{"help", &fakeDaemon{}, "--help", ExitDone, "3 lost race"},
		{"no catalogue", &fakeDaemon{}, "get", ExitFailed, "no catalogue yet"},
		{"get", newSampleDaemon(), "get", ExitDone, `"version": 1`},
		{"history", newSampleDaemon(), "history", ExitDone, "ana"},
		{"workspace unknown", newSampleDaemon(), "keys give nobody", ExitBadInput, `workspace "nobody" is not in the catalogue`},
		{"key unknown", newSampleDaemon(), "keys withdraw w k1", ExitBadInput, `has no key "k1"`},
		{"vm unknown", newSampleDaemon(), "drain vm-9", ExitBadInput, `VM "vm-9" is not known`},
		{"drain", newSampleDaemon(), "drain", ExitDone, "4 sessions"},
		{"diff", newSampleDaemon(), "diff -f -", ExitDone, ""},
		{"diff without a side", newSampleDaemon(), "diff", ExitBadInput, "either --file or --version"},
		{"rollback", newSampleDaemon(), "rollback 1", ExitDone, "version 2 stored"},
		{"shell", newSampleDaemon(), "completion fish", ExitBadInput, "allowed: bash"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := test.d.run(t, strings.Fields(test.argv)...)
			is.Equal(code, test.want)
			is.True(strings.Contains(out+errs, test.text))
		})
	}
}

// TestJSON guards against output with --json that is not one JSON value.
func TestJSON(t *testing.T) {
	for _, argv := range []string{"get", "apply -f - --base 1", "diff -f -", "validate -f -", "history", "keys list", "keys give w", "status", "top --count 1", "drain", "rollback 1", "apply -f nosuchfile"} {
		t.Run(argv, func(t *testing.T) {
			is := is.New(t)
			d := newSampleDaemon()
			d.vms = []*adminpb.VMStatus{{Vm: "a"}}
			_, out, errs := d.run(t, append([]string{"--json"}, strings.Fields(argv)...)...)
			var v any
			is.NoErr(json.Unmarshal([]byte(out+errs), &v))
		})
	}
}

// TestKeys guards against a new key that is not valid, a key in clear text in the
// catalogue, a key id that is given twice, and a withdrawn key that stays valid.
func TestKeys(t *testing.T) {
	is := is.New(t)
	d := newSampleDaemon()
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

// TestKeyRace guards against a key that isn't stored because another operator stored
// an unrelated edit at the same time, and against the loss of that edit.
func TestKeyRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newSampleDaemon()
		races := 0
		d.beforeApply = func() {
			if races < 2 {
				races++
				d.addVersion([]byte(strings.Replace(sample, `"rate": 1`, `"rate": 7`, 1)))
			}
		}
		code, _, _ := d.run(t, "keys", "give", "w", "--id", "k1")
		is.Equal(code, ExitDone)
		c, err := catal.Read(d.versions[3])
		is.NoErr(err)
		is.Equal(len(c.Workspaces["w"].Keys), 1)
		is.Equal(c.Workspaces["w"].Rate, 7.0) // the other operator's edit is kept
	})
}

// TestEdit guards against an edit that overwrites another operator's, and against
// losing the edited file after a lost race.
func TestEdit(t *testing.T) {
	is := is.New(t)
	t.Setenv("TMPDIR", t.TempDir())
	d := newSampleDaemon()
	code, _, _ := d.run(t, "edit")
	is.Equal(code, ExitDone)
	is.True(bytes.Contains(d.versions[1], []byte(`"rate":2`)))

	d = newSampleDaemon()
	d.beforeApply = func() { d.addVersion([]byte(strings.Replace(sample, `"burst": 1`, `"burst": 9`, 1))) }
	code, _, errs := d.run(t, "edit")
	is.Equal(code, ExitLostRace)
	is.True(strings.Contains(errs, "~ /workspaces/w/burst 9 -> 1"))
	_, name, ok := strings.Cut(errs, "kept as ")
	is.True(ok)
	kept, err := os.ReadFile(strings.TrimSpace(name))
	is.NoErr(err)
	is.True(bytes.Contains(kept, []byte(`"rate": 2`)))
}

// TestWait guards against a wait that ends before the version is in force on a VM
// that is not dead, and against an error that doesn't name the VMs without it.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newSampleDaemon()
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

		d = newSampleDaemon()
		d.vms = []*adminpb.VMStatus{{Vm: "a", Reachable: true}}
		begin := time.Now()
		d.onStatus = func() {
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

// TestCompletion guards against a script that bash can't run or that lacks nested
// subcommands.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	_, script, _ := newSampleDaemon().run(t, "completion", "bash")
	cmd := exec.Command("bash", "-c", script+"\nCOMP_WORDS=(chervilctl keys gi); COMP_CWORD=2; _chervilctl; echo ${COMPREPLY[@]}")
	out, err := cmd.Output()
	var missing *exec.Error
	if errors.As(err, &missing) {
		t.Skip("bash is not installed")
	}
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(out)), "give")
}

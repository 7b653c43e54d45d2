package ctl

import "time"

// args is the command line. The package go-arg takes flags from the tags, and the
// names of positional arguments from the names of the fields.
type args struct {
	Server     string `arg:"-s,--server,env:CHERVIL_SERVER" default:"127.0.0.1:7400" help:"address of a daemon, IP:port"`
	Cert       string `arg:"--cert,env:CHERVIL_CERT" help:"certificate of the operator (PEM)"`
	Key        string `arg:"--key,env:CHERVIL_KEY" help:"private key of the operator (PEM)"`
	CA         string `arg:"--ca,env:CHERVIL_CA" help:"certificate authority of the fleet (PEM)"`
	ServerName string `arg:"--server-name,env:CHERVIL_SERVER_NAME" help:"name in the daemons' certificates, unless their IP addresses"`
	Plain      bool   `arg:"--plain,env:CHERVIL_PLAIN" help:"no TLS, to loopback addresses only"`
	JSON       bool   `arg:"--json" help:"print one JSON value"`
	Operator   string `arg:"--operator,env:USER" help:"name in the history"`

	Get        *getArgs        `arg:"subcommand:get" help:"print the catalogue"`
	Edit       *editArgs       `arg:"subcommand:edit" help:"edit the catalogue in $EDITOR"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"replace the catalogue by a file"`
	Diff       *diffArgs       `arg:"subcommand:diff" help:"compare a file or a version with the catalogue in force"`
	Validate   *validateArgs   `arg:"subcommand:validate" help:"check a file without a daemon"`
	History    *historyArgs    `arg:"subcommand:history" help:"list the versions"`
	Rollback   *rollbackArgs   `arg:"subcommand:rollback" help:"store a former version as a new one"`
	Keys       *keysArgs       `arg:"subcommand:keys" help:"give, withdraw or list the keys of workspaces"`
	Status     *statusArgs     `arg:"subcommand:status" help:"show the state of each VM"`
	Top        *topArgs        `arg:"subcommand:top" help:"show groups and workspaces live"`
	Drain      *drainArgs      `arg:"subcommand:drain" help:"start a graceful stop of a VM"`
	Completion *completionArgs `arg:"subcommand:completion" help:"print a completion script"`
}

// Epilogue returns the last lines of the help, with the exit statuses.
func (args) Epilogue() string {
	return "Exit status: 0 done, 1 failed, 2 bad input, 3 lost race."
}

// Description returns the first line of the help.
func (args) Description() string {
	return "chervilctl administers a chervilspan fleet through its catalogue."
}

// editOptions are the flags of commands that store a new version of the catalogue.
type editOptions struct {
	Wait    bool          `arg:"--wait" help:"wait until the version is in force on all VMs"`
	Timeout time.Duration `arg:"--timeout" default:"60s" help:"how long --wait waits"`
	Comment string        `arg:"-m,--comment" help:"reason, for the history"`
}

type getArgs struct {
	Version uint64 `arg:"--version" help:"a former version instead of the one in force"`
	Output  string `arg:"-o,--output" help:"write to a file"`
}

type editArgs struct{ editOptions }

type applyArgs struct {
	File string  `arg:"-f,--file,required" help:"the document; - reads the input"`
	Base *uint64 `arg:"--base" help:"version that the edit starts from, unless the one in the file"`
	editOptions
}

type diffArgs struct {
	File    string `arg:"-f,--file" help:"compare the version in force with this file"`
	Version uint64 `arg:"--version" help:"compare this former version with the one in force"`
}

type validateArgs struct {
	File string `arg:"-f,--file,required" help:"the document; - reads the input"`
}

type historyArgs struct {
	Limit uint32 `arg:"--limit" default:"20" help:"greatest number of versions"`
}

type rollbackArgs struct {
	Version uint64 `arg:"positional,required" help:"the former version"`
	editOptions
}

type keysArgs struct {
	Give     *giveArgs     `arg:"subcommand:give" help:"make a key and print it once"`
	Withdraw *withdrawArgs `arg:"subcommand:withdraw" help:"end a key"`
	List     *listArgs     `arg:"subcommand:list" help:"list keys"`
}

type giveArgs struct {
	Workspace string        `arg:"positional,required"`
	ID        string        `arg:"--id" help:"id of the key, unless a random one"`
	Label     string        `arg:"--label" help:"what the key is for"`
	Expires   time.Duration `arg:"--expires" help:"lifetime, such as 720h; 0 means no end"`
	NotBefore time.Duration `arg:"--not-before" help:"when the key becomes valid, from now"`
	editOptions
}

type withdrawArgs struct {
	Workspace string `arg:"positional,required"`
	ID        string `arg:"positional,required"`
	editOptions
}

type listArgs struct {
	Workspace string `arg:"positional" help:"of this workspace only"`
}

type statusArgs struct{}

type topArgs struct {
	Every time.Duration `arg:"--every" default:"1s" help:"time between refreshes"`
	Count int           `arg:"--count" help:"end after so many refreshes; 0 means never"`
}

type drainArgs struct {
	VM string `arg:"positional" help:"the VM, unless the one at --server"`
}

type completionArgs struct {
	Shell string `arg:"positional,required" help:"bash"`
}

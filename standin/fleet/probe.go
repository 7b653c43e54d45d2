package fleet

import "chervilspan.example/pkg/ident"

// Pid returns the process ID.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Workspaces returns the workspaces in the order of the layout.
func (f *Fleet) Workspaces() []ident.Workspace { return f.cfg.Layout.Workspaces }

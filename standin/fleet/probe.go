package fleet

import "chervilspan.example/pkg/ident"

// Pid returns the process's id.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Workspaces returns the names of the layout's workspaces, in order.
func (f *Fleet) Workspaces() []ident.Workspace { return f.cfg.Layout.Workspaces }

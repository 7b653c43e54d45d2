package fleet

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// ZoneLayout is an availability zone with the number of daemons in it.
type ZoneLayout struct {
	Zone    ident.Zone
	Region  ident.Region
	Daemons int
}

// Layout describes a deployment.
type Layout struct {
	Zones []ZoneLayout
	// Groups are the database groups, each with one target in each zone.
	Groups []ident.Group
	// Slots and ConnLimit are those of each target.
	Slots     uint32
	ConnLimit uint32
	// ConnectDelay is the time that a new connection to a target takes.
	ConnectDelay time.Duration
	// ServiceTime is the time that a target takes for a statement.
	ServiceTime time.Duration
	// Lag is the delay before a replica applies a log entry.
	Lag        time.Duration
	Workspaces []ident.Workspace
	// Rate, in statements per second, and Burst, in statements, are those of
	// each workspace.
	Rate  float64
	Burst uint32
}

// Workshop is the deployment of a workshop with two regions: 3 database groups
// of 3 databases, 5 slots and 30 connections, 10 ms for a new connection.
func Workshop() Layout {
	return Layout{
		Zones: []ZoneLayout{
			{"bogota-norte", "andina", 2},
			{"bogota-sur", "andina", 2},
			{"barranquilla", "caribe", 2},
		},
		Groups: []ident.Group{"taller-1", "taller-2", "taller-3"},
		Slots:  5, ConnLimit: 30,
		ConnectDelay: 10 * time.Millisecond, ServiceTime: time.Millisecond, Lag: 50 * time.Millisecond,
		Workspaces: workspaceNames("taller-ws-", 8), Rate: 50, Burst: 50,
	}
}

// Association is the deployment of an association with two regions: 3 database
// groups of 3 databases, 3 slots and 50 connections, 30 ms for a new
// connection.
func Association() Layout {
	return Layout{
		Zones: []ZoneLayout{
			{"zagreb", "kontinentalna", 2},
			{"osijek", "kontinentalna", 2},
			{"split", "jadran", 2},
		},
		Groups: []ident.Group{"ledger-1", "ledger-2", "ledger-3"},
		Slots:  3, ConnLimit: 50,
		ConnectDelay: 30 * time.Millisecond, ServiceTime: time.Millisecond, Lag: 50 * time.Millisecond,
		Workspaces: workspaceNames("ledger-ws-", 8), Rate: 50, Burst: 50,
	}
}

func workspaceNames(prefix string, n int) []ident.Workspace {
	out := make([]ident.Workspace, n)
	for i := range out {
		out[i] = ident.Workspace(prefix + string(rune('a'+i)))
	}
	return out
}

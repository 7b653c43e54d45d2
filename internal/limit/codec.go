package limit

import (
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/gate"
	"chervilspan.example/pkg/ident"
)

func toDemand(id ident.Target, d gate.Demand) *peerpb.SlotDemand {
	m := &peerpb.SlotDemand{
		Vm: string(d.VM), Target: string(id), InUse: uint32(d.InUse), Sequence: uint64(d.Confirmed), Number: d.Number,
	}
	for _, c := range d.Workspaces {
		m.Waiting = append(m.Waiting, &peerpb.WorkspaceDemand{
			Workspace: string(c.Workspace), Waiting: uint32(c.Waiting), InUse: uint32(c.InUse), Weight: c.Weight,
		})
	}
	return m
}

func fromDemand(m *peerpb.SlotDemand) gate.Demand {
	d := gate.Demand{VM: ident.VM(m.Vm), InUse: int(m.InUse), Confirmed: gate.Sequence(m.Sequence), Number: m.Number}
	for _, w := range m.Waiting {
		d.Workspaces = append(d.Workspaces, gate.WorkspaceDemand{
			Workspace: ident.Workspace(w.Workspace), Weight: w.Weight, Waiting: int(w.Waiting), InUse: int(w.InUse),
		})
	}
	return d
}

func toLoan(id ident.Target, loan gate.Loan) *peerpb.SlotLoan {
	return &peerpb.SlotLoan{
		Target: string(id), Slots: uint32(loan.Slots), LifetimeMs: uint32(gate.Lifetime.Milliseconds()),
		Sequence: uint64(loan.Sequence), Number: loan.DemandNumber, Contended: loan.Contended,
	}
}

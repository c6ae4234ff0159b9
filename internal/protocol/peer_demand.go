package protocol

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"pipitlatch/internal/admission"
	"pipitlatch/internal/protocol/wire"
)

// encodeDemand encodes the demand that a controller received. A flow whose sketch can't be encoded is
// left out of this message and sent with the next one.
func encodeDemand(b *flatbuffers.Builder, d *admission.Demand) flatbuffers.UOffsetT {
	if d == nil {
		return 0
	}
	var flows []flatbuffers.UOffsetT
	for _, f := range d.Flows {
		sketch, err := admission.EncodeSketch(f.Asked)
		if err != nil {
			continue
		}
		asked := b.CreateByteVector(sketch)
		team := b.CreateString(f.Flow.Team)
		class := b.CreateString(f.Flow.Class)
		wire.FlowDemandStart(b)
		wire.FlowDemandAddTeam(b, team)
		wire.FlowDemandAddClass(b, class)
		wire.FlowDemandAddAsked(b, asked)
		wire.FlowDemandAddAccepted(b, f.Accepted)
		wire.FlowDemandAddAdmitted(b, f.Admitted)
		flows = append(flows, wire.FlowDemandEnd(b))
	}
	list := encodeVector(b, flows)
	wire.DemandStart(b)
	wire.DemandAddFlows(b, list)
	wire.DemandAddRefused(b, d.Refused)
	wire.DemandAddAdmitted(b, d.Admitted)
	wire.DemandAddAcceptRate(b, d.AcceptRate)
	return wire.DemandEnd(b)
}

// decodeDemand decodes the demand that a peer received.
func decodeDemand(w *wire.Demand) (*admission.Demand, error) {
	if n := w.FlowsLength(); n > 2*admission.MaxFlows {
		return nil, malformed("demand.flows", "malformed peer status: %d flows", n)
	}
	demand := &admission.Demand{Refused: w.Refused(), Admitted: w.Admitted(), AcceptRate: w.AcceptRate()}
	for i := range w.FlowsLength() {
		var f wire.FlowDemand
		w.Flows(&f, i)
		asked, err := admission.DecodeSketch(f.AskedBytes())
		if err != nil {
			return nil, malformed("demand.flows.asked", "malformed peer status: %w", err)
		}
		demand.Flows = append(demand.Flows, admission.FlowDemand{
			Flow:     admission.Flow{Team: string(f.Team()), Class: string(f.Class())},
			Asked:    asked,
			Accepted: f.Accepted(),
			Admitted: f.Admitted(),
		})
	}
	return demand, nil
}

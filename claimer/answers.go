package claimer

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire/claimwire"
)

// encodeAnswer returns the encoding of a that Table.Apply returns.
func encodeAnswer(a answer) []byte {
	b, err := proto.Marshal(wireAnswer(a))
	if err != nil {
		// Marshalling cannot fail: the strings of an answer come from decoded
		// messages, so they are valid UTF-8.
		panic(fmt.Sprintf("answer %T: %v", a, err))
	}
	return b
}

// wireAnswer converts a to its protobuf message.
func wireAnswer(a answer) *claimwire.Verdict {
	none := &claimwire.Empty{}
	switch a := a.(type) {
	case Granted:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Granted{Granted: none}}
	case Settled:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Settled{Settled: wireReceipt(&a.Receipt)}}
	case InProgress:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_InProgress{InProgress: string(a.Request)}}
	case OutcomeUnknown:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Lost{Lost: none}}
	case Reused:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Reused{Reused: none}}
	case full:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Full{Full: none}}
	case acknowledged:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Noted{Noted: none}}
	case notHeld:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_NotHeld{NotHeld: none}}
	case malformed:
		return &claimwire.Verdict{Verdict: &claimwire.Verdict_Malformed{Malformed: a.problem}}
	default:
		panic(fmt.Sprintf("answer %T has no encoding", a))
	}
}

// decodeAnswer decodes the output of encodeAnswer.
func decodeAnswer(b []byte) (answer, error) {
	var m claimwire.Verdict
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("result is no answer of a claim group: %w: run one version on every host", err)
	}
	switch v := m.Verdict.(type) {
	case *claimwire.Verdict_Granted:
		return Granted{}, nil
	case *claimwire.Verdict_Settled:
		return Settled{Receipt: decodeReceipt(v.Settled)}, nil
	case *claimwire.Verdict_InProgress:
		return InProgress{Request: identifier.RequestID(v.InProgress)}, nil
	case *claimwire.Verdict_Lost:
		return OutcomeUnknown{}, nil
	case *claimwire.Verdict_Reused:
		return Reused{}, nil
	case *claimwire.Verdict_Full:
		return full{}, nil
	case *claimwire.Verdict_Noted:
		return acknowledged{}, nil
	case *claimwire.Verdict_NotHeld:
		return notHeld{}, nil
	case *claimwire.Verdict_Malformed:
		return malformed{problem: v.Malformed}, nil
	default:
		return nil, fmt.Errorf("result has the unknown type %T: upgrade this host", v)
	}
}

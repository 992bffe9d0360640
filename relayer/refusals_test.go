package relayer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/timer"
)

// TestRefusalsTellOfEnds checks what a refused connection says of a server, by what older
// connections and other servers show.
func TestRefusalsTellOfEnds(t *testing.T) {
	gone := Finding{Refuses: true}
	up := Finding{Refuses: true, IsOpen: true}
	accepts := Finding{Accepts: true}
	silent := Finding{}
	for name, tc := range map[string]struct {
		server Finding
		others []Finding
		after  time.Duration
		want   Ending
	}{
		"another server accepts":                 {gone, []Finding{up, accepts}, 0, Ended},
		"another accepts, a connection is open":  {up, []Finding{up, accepts}, time.Second, Ended},
		"all refuse, none is open":               {gone, []Finding{gone, gone}, 0, Ended},
		"all refuse, its own is open":            {up, []Finding{gone, gone}, witnessTime, CutOff},
		"all refuse, another is open":            {gone, []Finding{gone, up}, witnessTime, CutOff},
		"all refuse, open not for long":          {gone, []Finding{gone, up}, witnessTime - 1, Undecided},
		"some refuse, the others are silent":     {gone, []Finding{silent, up}, witnessTime, CutOff},
		"all others are silent":                  {up, []Finding{silent, silent}, time.Second, Ended},
		"an only server, open":                   {up, nil, loneWitnessTime, CutOff},
		"an only server, open not for long":      {up, nil, loneWitnessTime - 1, Undecided},
		"an only server, not open":               {gone, nil, 0, Ended},
		"an older connection of a silent server": {gone, []Finding{{IsOpen: true}, gone}, time.Second, Ended},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			r := NewRefusals(clock)
			refusedAt := clock.Now()
			clock.Advance(tc.after)
			if diff := cmp.Diff(tc.want.String(), r.Judge(tc.server, tc.others, refusedAt).String()); diff != "" {
				t.Errorf("endings differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCutIsRememberedUntilAServerAccepts checks how long refusals tell nothing of ends once a
// host was found to be cut off.
func TestCutIsRememberedUntilAServerAccepts(t *testing.T) {
	gone := []Finding{{Refuses: true}}
	for name, tc := range map[string]struct {
		change func(r *Refusals, clock *timer.Manual)
		want   Ending
	}{
		"at once":                       {func(*Refusals, *timer.Manual) {}, CutOff},
		"for a while":                   {func(_ *Refusals, clock *timer.Manual) { clock.Advance(knownCutTime - 1) }, CutOff},
		"not for ever":                  {func(_ *Refusals, clock *timer.Manual) { clock.Advance(knownCutTime) }, Ended},
		"a server has accepted":         {func(r *Refusals, _ *timer.Manual) { r.Accepted() }, Ended},
		"a server has accepted a trial": {func(r *Refusals, clock *timer.Manual) { r.Judge(gone[0], []Finding{{Accepts: true}}, clock.Now()) }, Ended},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			r := NewRefusals(clock)
			refusedAt := clock.Now()
			clock.Advance(witnessTime)
			r.Judge(Finding{Refuses: true, IsOpen: true}, gone, refusedAt)
			tc.change(r, clock)
			if diff := cmp.Diff(tc.want.String(), r.Judge(gone[0], gone, clock.Now()).String()); diff != "" {
				t.Errorf("endings differ (-want +got):\n%s", diff)
			}
		})
	}
}

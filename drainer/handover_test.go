package drainer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer"
	"cyclamenhub.org/drainer/wire"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// TestReclaimedHostHandsOver checks that a host's streams go on at its peers
// and reach their callers whole, through this host while it lives.
func TestReclaimedHostHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		a, b := f.stream(f.hosts[0], "r1"), f.stream(f.hosts[0], "r2")
		time.Sleep(500 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		<-a.ended
		<-b.ended
		if a.err != nil || b.err != nil || !a.done || !b.done {
			t.Errorf("refusals %v and %v, done %v and %v", a.err, b.err, a.done, b.done)
		}
		f.checkWhole("r1", a.text.String(), a.ids)
		f.checkWhole("r2", b.text.String(), b.ids)
		if n := f.engines[0].Stats().Resumed + f.engines[1].Stats().Resumed; n != 2 {
			t.Errorf("%d streams were resumed from their progress, want 2", n)
		}
		if n := f.hosts[0].counter("cyclamen_handovers_total"); n != 2 || !f.hosts[0].unready.Load() {
			t.Errorf("%d handovers, unready %v", n, f.hosts[0].unready.Load())
		}
	})
}

// TestCallerComesToAnotherHost checks that a caller whose host died after the
// handover picks its stream up at any other host.
func TestCallerComesToAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(500 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		if f.hosts[0].counter("cyclamen_handovers_total") != 1 {
			t.Fatal("the stream was not handed over before its host died")
		}
		f.hosts[0].stop()
		a.mu.Lock()
		had, ids := a.text.String(), append([]string(nil), a.ids...)
		a.mu.Unlock()
		b := new(answer)
		refusal := f.follow(f.hosts[3], "r1", len(ids), b)
		if refusal != nil || !b.done {
			t.Errorf("refusal %v, done %v", refusal, b.done)
		}
		f.checkWhole("r1", had+b.text.String(), append(ids, b.ids...))
	})
}

// follow picks a stream up at h.
func (f *fleet) follow(h *host, id identifier.RequestID, n int, b *answer) *refuser.Refusal {
	f.t.Helper()
	r, _, ok := h.dr.Find(context.Background(), "c", id)
	if !ok {
		f.t.Fatal("no host knows the request")
	}
	refusal, err := dispatcher.Follow(context.Background(), r, n, b)
	if err != nil {
		f.t.Fatal(err)
	}
	return refusal
}

// TestLostAcknowledgementLeavesOneOwner checks that where a peer took a request
// and its acknowledgement was lost, the highest epoch is the one owner.
func TestLostAcknowledgementLeavesOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		lost := 0
		call := drainer.CallFunc(func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
			err := f.call(ctx, address, method, req, resp)
			if method == "drainer.take" && err == nil && lost == 0 {
				lost++
				return &messenger.UnreachableError{Address: address, Err: context.DeadlineExceeded}
			}
			return err
		})
		f.hosts[0].tamper.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(500 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		time.Sleep(1200 * time.Millisecond)
		_, s, ok := f.hosts[0].dr.Find(context.Background(), "c", "r1")
		if !ok || s.Epoch != 2 || lost != 1 {
			t.Errorf("found %v with epoch %d after %d lost acknowledgements", ok, s.Epoch, lost)
		}
		<-a.ended
		f.checkWhole("r1", a.text.String(), a.ids)
	})
}

// TestSecondHostLeavesToo checks that a request survives when the host that
// took it is reclaimed as well.
func TestSecondHostLeavesToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(200 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		time.Sleep(1200 * time.Millisecond)
		var second *host
		for _, h := range f.hosts[1:] {
			if h.counter("cyclamen_handovers_taken_total") == 1 {
				second = h
			}
		}
		if second == nil {
			t.Fatal("nobody took the request")
		}
		second.dr.HostLeaves(600 * time.Millisecond)
		time.Sleep(600 * time.Millisecond)
		if second.counter("cyclamen_handovers_total") != 1 {
			t.Error("the second host did not hand over")
		}
		second.stop()
		time.Sleep(100 * time.Millisecond)
		if n := f.hosts[0].counter("cyclamen_handovers_total"); n != 1 {
			t.Errorf("the first host took the request back and handed it over %d times", n)
		}
		<-a.ended
		if a.err != nil || !a.done {
			t.Errorf("refusal %v, done %v", a.err, a.done)
		}
		f.checkWhole("r1", a.text.String(), a.ids)
	})
}

// TestOwnerDiesAfterTaking checks that the leaving host goes on by itself, while
// it lives, where the peer that took a request dies.
func TestOwnerDiesAfterTaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(200 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(20 * time.Second)
		time.Sleep(7 * time.Second)
		<-a.ended
		f.checkWhole("r1", a.text.String(), a.ids)

		b := f.stream(f.hosts[0], "r2")
		time.Sleep(300 * time.Millisecond)
		if f.hosts[1].counter("cyclamen_handovers_taken_total") != 1 {
			t.Fatal("the request was not handed over")
		}
		f.hosts[1].stop()
		<-b.ended
		if b.err != nil || !b.done {
			t.Errorf("refusal %v, done %v", b.err, b.done)
		}
		f.checkWhole("r2", b.text.String(), b.ids)
	})
}

// TestAllHostsLeave checks that a request goes on where no peer may take it,
// also when the hosts did not hear of each other's notices.
func TestAllHostsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(200 * time.Millisecond)
		call := drainer.CallFunc(func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
			if method == "drainer.leaving" {
				return &messenger.UnreachableError{Address: address, NotSent: true, Err: net.ErrClosed}
			}
			return f.call(ctx, address, method, req, resp)
		})
		for _, h := range f.hosts {
			h.tamper.Store(&call)
			h.dr.HostLeaves(5 * time.Second)
		}
		<-a.ended
		if a.err != nil || !a.done || f.hosts[0].counter("cyclamen_handovers_failed_total") == 0 {
			t.Errorf("refusal %v, done %v, %d failed handovers", a.err, a.done, f.hosts[0].counter("cyclamen_handovers_failed_total"))
		}
		for _, h := range f.hosts {
			if h.counter("cyclamen_handovers_taken_total") != 0 {
				t.Errorf("%s leaves and took a request", h.name)
			}
		}
		f.checkWhole("r1", a.text.String(), a.ids)
	})
}

// TestLeavingServer checks that all hosts send a leaving server nothing new, and
// that its streams have moved when its notice ends.
func TestLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		var streams []*answer
		for i := range 6 {
			streams = append(streams, f.stream(f.hosts[i%2], identifier.RequestID(fmt.Sprint("r", i))))
		}
		time.Sleep(200 * time.Millisecond)
		calls := f.engines[0].Stats().Calls
		if f.engines[0].Stats().Running == 0 {
			t.Fatal("the server has no streams")
		}
		f.hosts[0].dr.ServerLeaves("e0", time.Second)
		time.Sleep(time.Second)
		if n := f.engines[0].Stats().Running; n != 0 {
			t.Errorf("%d streams are left at the end of the notice", n)
		}
		late := []*answer{f.stream(f.hosts[0], "r6"), f.stream(f.hosts[1], "r7")}
		for i, a := range append(streams, late...) {
			<-a.ended
			f.checkWhole(identifier.RequestID(fmt.Sprint("r", i)), a.text.String(), a.ids)
		}
		if n := f.engines[0].Stats().Calls; n != calls {
			t.Errorf("the leaving server got %d new calls", n-calls)
		}
	})
}

// TestFilingOfReclaimedHostIsUnknown checks that a filing without an answer at
// the end of a notice is told to a peer as unknown, and did not run twice.
func TestFilingOfReclaimedHostIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		f.plain.Inject(faker.Fault{Kind: faker.Late, Delay: 10 * time.Second, Count: 1})
		s, _ := f.tables.Load().Service("plain")
		r := &dispatcher.Request{
			ID: "f1", Customer: "c", Service: s, Kind: dispatcher.Call{NonIdempotent: true}, Method: http.MethodPost, Path: "/filings",
			Deadline: time.Now().Add(20 * time.Second),
		}
		go func() { _ = f.hosts[0].d.Do(context.Background(), r, new(answer)) }()
		f.hosts[0].dr.HostLeaves(2 * time.Second)
		time.Sleep(2 * time.Second)
		f.hosts[0].stop()
		_, status, ok := f.hosts[1].d.Find("c", "f1")
		if !ok || status.State != dispatcher.Unknown {
			t.Errorf("found %v, status %+v", ok, status)
		}
		if n := len(f.plain.Executions()); n != 1 {
			t.Errorf("%d executions", n)
		}
		taken, told := f.hosts[1].counter("cyclamen_handovers_taken_total"), f.hosts[1].counter("cyclamen_handovers_told_total")
		if taken != 0 || told != 1 {
			t.Errorf("the peer counts %d requests taken and %d outcomes told, want 0 and 1", taken, told)
		}
	})
}

// lateTake returns calls of which the first offer's acknowledgement never
// comes; hold delays the offer itself.
func (f *fleet) lateTake(hold time.Duration) drainer.CallFunc {
	late := false
	return func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
		if method != "drainer.take" || late {
			return f.call(ctx, address, method, req, resp)
		}
		late = true
		go func() {
			time.Sleep(hold)
			_ = f.call(context.WithoutCancel(ctx), address, method, req, resp)
		}()
		<-ctx.Done()
		return &messenger.UnreachableError{Address: address, Err: ctx.Err()}
	}
}

// TestOfferIsRepeated checks that a peer that took a request, and whose
// acknowledgement came too late, acknowledges the next offer and goes on: the
// request is taken once.
func TestOfferIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		// hold is how late the peer gets the first offer.
		hold time.Duration
	}{
		{name: "while it runs there", hold: 0},
		{name: "after it overtook this host", hold: 900 * time.Millisecond},
		{name: "after this host has gone on", hold: 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				call := f.lateTake(c.hold)
				f.hosts[0].tamper.Store(&call)
				a := f.stream(f.hosts[0], "r1")
				f.hosts[0].dr.HostLeaves(5 * time.Second)
				<-a.ended
				f.checkWhole("r1", a.text.String(), a.ids)
				if n := f.hosts[1].counter("cyclamen_handovers_taken_total"); n != 1 {
					t.Errorf("the peer counts %d requests that it took", n)
				}
				if n := f.hosts[0].counter("cyclamen_handovers_total"); n != 1 {
					t.Errorf("%d handovers were acknowledged", n)
				}
			})
		})
	}
}

// TestFinishedRequestIsOffered checks that a peer that has finished a request
// acknowledges a late offer of it without running it again.
func TestFinishedRequestIsOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		var taken proto.Message
		call := drainer.CallFunc(func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
			if method == "drainer.take" {
				taken = proto.Clone(req)
			}
			return f.call(ctx, address, method, req, resp)
		})
		f.hosts[0].tamper.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		f.hosts[0].dr.HostLeaves(5 * time.Second)
		<-a.ended
		calls := f.engines[0].Stats().Calls + f.engines[1].Stats().Calls
		again := taken.(*wire.TakeRequest)
		again.Epoch++
		if err := f.call(t.Context(), "h1", "drainer.take", again, &wire.TakeResponse{}); err != nil {
			t.Errorf("the offer was refused: %v", err)
		}
		if n := f.engines[0].Stats().Calls + f.engines[1].Stats().Calls; n != calls {
			t.Errorf("%d calls for a request that had finished", n-calls)
		}
		if n := f.hosts[1].counter("cyclamen_handovers_taken_total"); n != 1 {
			t.Errorf("the peer counts %d requests that it took", n)
		}
		if _, s, ok := f.hosts[1].d.Find("c", "r1"); !ok || s.State != dispatcher.Done || s.Epoch != again.Epoch {
			t.Errorf("found %v, status %+v", ok, s)
		}
	})
}

// TestOwnerAfterFailedOffers checks that a host that goes on by itself, since no
// peer acknowledged, is above the peers that may have taken the request.
func TestOwnerAfterFailedOffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		call := drainer.CallFunc(func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
			err := f.call(ctx, address, method, req, resp)
			if method == "drainer.take" && err == nil {
				return &messenger.UnreachableError{Address: address, Err: context.DeadlineExceeded}
			}
			return err
		})
		f.hosts[0].tamper.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		f.hosts[0].dr.HostLeaves(5 * time.Second)
		// Between two looks of the drainer, so that no offer is under way.
		time.Sleep(2620 * time.Millisecond)
		_, own, _ := f.hosts[0].d.Find("c", "r1")
		for _, h := range f.hosts[1:] {
			_, s, ok := h.d.Find("c", "r1")
			if !ok || s.Epoch >= own.Epoch {
				t.Errorf("%s: found %v with epoch %d, the owner has %d", h.name, ok, s.Epoch, own.Epoch)
			}
		}
		<-a.ended
		f.checkWhole("r1", a.text.String(), a.ids)
	})
}

// TestCopyIsBehind checks that a copy that has less than a later offer of the
// same request gives way to it, unless a caller has read from the copy.
func TestCopyIsBehind(t *testing.T) {
	for _, read := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2)
			defer f.close()
			var offered *wire.TakeRequest
			call := drainer.CallFunc(func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
				if method == "drainer.take" {
					offered = proto.Clone(req).(*wire.TakeRequest)
					return &messenger.UnreachableError{Address: address, NotSent: true, Err: net.ErrClosed}
				}
				return f.call(ctx, address, method, req, resp)
			})
			f.hosts[0].tamper.Store(&call)
			a := f.stream(f.hosts[0], "r1")
			f.hosts[0].dr.HostLeaves(5 * time.Second)
			<-a.ended
			first := proto.Clone(offered).(*wire.TakeRequest)
			first.Epoch, first.Progress = 1, &wire.StreamProgress{}
			offered.Epoch = 2
			take := func(req *wire.TakeRequest) error {
				return f.call(t.Context(), "h1", "drainer.take", req, &wire.TakeResponse{})
			}
			if err := take(first); err != nil {
				t.Fatal(err)
			}
			if read {
				r, _, _ := f.hosts[1].d.Find("c", "r1")
				if _, err := r.Next(t.Context(), 0); err != nil {
					t.Fatal(err)
				}
			}
			if err := take(offered); (err != nil) != read {
				t.Errorf("read from %v: the offer had the answer %v", read, err)
			}
			_, s, _ := f.hosts[1].d.Find("c", "r1")
			if ahead := s.Events >= len(offered.Progress.Ends); ahead == read {
				t.Errorf("read from %v: %d events, %d were offered", read, s.Events, len(offered.Progress.Ends))
			}
			b := new(answer)
			if refusal := f.follow(f.hosts[0], "r1", 0, b); refusal != nil || !b.done {
				t.Errorf("refusal %v, done %v", refusal, b.done)
			}
			f.checkWhole("r1", b.text.String(), b.ids)
			if n := f.hosts[1].counter("cyclamen_handovers_taken_total"); n != 1 {
				t.Errorf("the peer counts %d requests that it took", n)
			}
		})
	}
}

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

// TestReclaimedHostHandsOver checks that the streams of a leaving host resume
// on its peers and reach their callers completely, through the leaving host as
// long as it is up.
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
		f.checkComplete("r1", a.text.String(), a.ids)
		f.checkComplete("r2", b.text.String(), b.ids)
		if n := f.engines[0].Stats().Resumed + f.engines[1].Stats().Resumed; n != 2 {
			t.Errorf("%d streams were resumed from their progress, want 2", n)
		}
		if n := f.hosts[0].counter("cyclamen_handovers_total"); n != 2 || !f.hosts[0].unready.Load() {
			t.Errorf("%d handovers, unready %v", n, f.hosts[0].unready.Load())
		}
	})
}

// TestCallerResumesThroughAnotherHost checks that a caller whose host stopped
// after the handover can resume its stream through any other host.
func TestCallerResumesThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(500 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		if f.hosts[0].counter("cyclamen_handovers_total") != 1 {
			t.Fatal("the stream was not handed over before its host stopped")
		}
		f.hosts[0].stop()
		a.mu.Lock()
		had, ids := a.text.String(), append([]string(nil), a.ids...)
		a.mu.Unlock()
		b := new(streamCaller)
		refusal := f.follow(f.hosts[3], "r1", len(ids), b)
		if refusal != nil || !b.done {
			t.Errorf("refusal %v, done %v", refusal, b.done)
		}
		f.checkComplete("r1", had+b.text.String(), append(ids, b.ids...))
	})
}

// follow resumes a stream through h after event n and writes it to b.
func (f *fleet) follow(h *host, id identifier.RequestID, n int, b *streamCaller) *refuser.Refusal {
	f.t.Helper()
	r, _, ok := h.dr.Find(context.Background(), "c", id)
	if !ok {
		f.t.Fatal("no host has the request")
	}
	refusal, err := dispatcher.Follow(context.Background(), r, n, b)
	if err != nil {
		f.t.Fatal(err)
	}
	return refusal
}

// TestLostAcknowledgementLeavesOneOwner checks that if a peer took a request
// and its acknowledgement was lost, the next peer owns the request with a
// higher epoch.
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
		f.hosts[0].callOverride.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(500 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(3 * time.Second)
		time.Sleep(1200 * time.Millisecond)
		_, s, ok := f.hosts[0].dr.Find(context.Background(), "c", "r1")
		if !ok || s.Epoch != 2 || lost != 1 {
			t.Errorf("found %v with epoch %d after %d lost acknowledgements", ok, s.Epoch, lost)
		}
		<-a.ended
		f.checkComplete("r1", a.text.String(), a.ids)
	})
}

// TestRequestSurvivesSecondReclaim checks that a request continues if the host
// that took it is reclaimed as well.
func TestRequestSurvivesSecondReclaim(t *testing.T) {
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
			t.Fatal("no peer took the request")
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
		f.checkComplete("r1", a.text.String(), a.ids)
	})
}

// TestOwnerStopsAfterTaking checks that if the peer that took a request
// stops, the leaving host resumes the request itself as long as it is up.
func TestOwnerStopsAfterTaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		a := f.stream(f.hosts[0], "r1")
		time.Sleep(200 * time.Millisecond)
		f.hosts[0].dr.HostLeaves(20 * time.Second)
		time.Sleep(7 * time.Second)
		<-a.ended
		f.checkComplete("r1", a.text.String(), a.ids)

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
		f.checkComplete("r2", b.text.String(), b.ids)
	})
}

// TestAllHostsLeave checks that a request continues on its host if every peer
// is leaving too, even if the hosts did not receive each other's notices.
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
			h.callOverride.Store(&call)
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
		f.checkComplete("r1", a.text.String(), a.ids)
	})
}

// TestLeavingServer checks that no host sends new requests to a leaving server,
// and that its streams have moved to another server by the end of the notice.
func TestLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		var streams []*streamCaller
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
		late := []*streamCaller{f.stream(f.hosts[0], "r6"), f.stream(f.hosts[1], "r7")}
		for i, a := range append(streams, late...) {
			<-a.ended
			f.checkComplete(identifier.RequestID(fmt.Sprint("r", i)), a.text.String(), a.ids)
		}
		if n := f.engines[0].Stats().Calls; n != calls {
			t.Errorf("the leaving server got %d new calls", n-calls)
		}
	})
}

// TestFilingOfReclaimedHostIsUnknown checks that if a non-idempotent request
// has no answer at the end of a notice, the host reports its outcome to a peer
// as unknown and the request runs only once.
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
		go func() { _ = f.hosts[0].d.Do(context.Background(), r, new(streamCaller)) }()
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
		taken, unknown := f.hosts[1].counter("cyclamen_handovers_taken_total"), f.hosts[1].counter("cyclamen_handovers_told_total")
		if taken != 0 || unknown != 1 {
			t.Errorf("the peer counts %d requests taken and %d unknown outcomes, want 0 and 1", taken, unknown)
		}
	})
}

// delayFirstTake returns a CallFunc that delivers the first offer of a handover
// after hold and never returns its acknowledgement.
func (f *fleet) delayFirstTake(hold time.Duration) drainer.CallFunc {
	delayed := false
	return func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
		if method != "drainer.take" || delayed {
			return f.call(ctx, address, method, req, resp)
		}
		delayed = true
		go func() {
			time.Sleep(hold)
			_ = f.call(context.WithoutCancel(ctx), address, method, req, resp)
		}()
		<-ctx.Done()
		return &messenger.UnreachableError{Address: address, Err: ctx.Err()}
	}
}

// TestOfferIsRepeated checks that if the acknowledgement of a peer came too
// late, the peer acknowledges the next offer of the same request, continues it,
// and counts it as taken only once.
func TestOfferIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		// hold is the delay with which the peer receives the first offer.
		hold time.Duration
	}{
		{name: "while the request runs on the peer", hold: 0},
		{name: "after the peer is ahead of this host", hold: 900 * time.Millisecond},
		{name: "after this host has resumed the request", hold: 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				call := f.delayFirstTake(c.hold)
				f.hosts[0].callOverride.Store(&call)
				a := f.stream(f.hosts[0], "r1")
				f.hosts[0].dr.HostLeaves(5 * time.Second)
				<-a.ended
				f.checkComplete("r1", a.text.String(), a.ids)
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
// acknowledges a late offer of it and does not run it again.
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
		f.hosts[0].callOverride.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		f.hosts[0].dr.HostLeaves(5 * time.Second)
		<-a.ended
		calls := f.engines[0].Stats().Calls + f.engines[1].Stats().Calls
		repeated := taken.(*wire.TakeRequest)
		repeated.Epoch++
		if err := f.call(t.Context(), "h1", "drainer.take", repeated, &wire.TakeResponse{}); err != nil {
			t.Errorf("the offer was refused: %v", err)
		}
		if n := f.engines[0].Stats().Calls + f.engines[1].Stats().Calls; n != calls {
			t.Errorf("%d new calls for a finished request", n-calls)
		}
		if n := f.hosts[1].counter("cyclamen_handovers_taken_total"); n != 1 {
			t.Errorf("the peer counts %d requests that it took", n)
		}
		if _, s, ok := f.hosts[1].d.Find("c", "r1"); !ok || s.State != dispatcher.Done || s.Epoch != repeated.Epoch {
			t.Errorf("found %v, status %+v", ok, s)
		}
	})
}

// TestOwnerAfterFailedOffers checks that a host that resumes a request because
// no peer acknowledged it has a higher epoch than the peers that may have taken
// it.
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
		f.hosts[0].callOverride.Store(&call)
		a := f.stream(f.hosts[0], "r1")
		f.hosts[0].dr.HostLeaves(5 * time.Second)
		// This is between two ticks of the drainer, so no offer is in flight.
		time.Sleep(2620 * time.Millisecond)
		_, own, _ := f.hosts[0].d.Find("c", "r1")
		for _, h := range f.hosts[1:] {
			_, s, ok := h.d.Find("c", "r1")
			if !ok || s.Epoch >= own.Epoch {
				t.Errorf("%s: found %v with epoch %d, the owner has %d", h.name, ok, s.Epoch, own.Epoch)
			}
		}
		<-a.ended
		f.checkComplete("r1", a.text.String(), a.ids)
	})
}

// TestOutdatedCopyIsReplacedUnlessRead checks that a peer replaces its copy of
// a request by a later offer that has more progress, unless a caller has read
// from the copy.
func TestOutdatedCopyIsReplacedUnlessRead(t *testing.T) {
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
			f.hosts[0].callOverride.Store(&call)
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
				t.Errorf("read from the copy %v: the offer returned %v", read, err)
			}
			_, s, _ := f.hosts[1].d.Find("c", "r1")
			if ahead := s.Events >= len(offered.Progress.Ends); ahead == read {
				t.Errorf("read from the copy %v: the peer has %d events, %d were offered", read, s.Events, len(offered.Progress.Ends))
			}
			b := new(streamCaller)
			if refusal := f.follow(f.hosts[0], "r1", 0, b); refusal != nil || !b.done {
				t.Errorf("refusal %v, done %v", refusal, b.done)
			}
			f.checkComplete("r1", b.text.String(), b.ids)
			if n := f.hosts[1].counter("cyclamen_handovers_taken_total"); n != 1 {
				t.Errorf("the peer counts %d requests that it took", n)
			}
		})
	}
}

package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// domains is where the hosts of a partitioned site stand, by number. The first
// three are keepers.
const domains = "abca"

// keeperCount is the number of keepers of a partitioned site.
const keeperCount = 3

// partitioned is a site whose hosts of different failure domains reach each
// other through links that can be cut.
type partitioned struct {
	*site
	ways    map[[2]int]*way
	engines []string
	plain   []string
}

// newPartitioned starts a site in failure domains a, b and c with a keeper, an
// engine and a plain service in each. With four hosts, the last is an entry
// host in a.
func newPartitioned(t *testing.T, hosts int) *partitioned {
	t.Helper()
	p := &partitioned{site: newSite(t, hosts), ways: make(map[[2]int]*way)}
	for i := range keeperCount {
		p.engines = append(p.engines, p.fake(i, configurer.ModelService, ""))
		p.plain = append(p.plain, p.fake(keeperCount+i, configurer.PlainService, ""))
	}
	for i := range p.fleet.Defaults.BackendServers {
		p.fleet.Defaults.BackendServers[i].FailureDomain = domainAt(i / 2)
	}
	for i := range hosts {
		for j := range hosts {
			p.ways[[2]int{i, j}] = new(way)
		}
	}
	for i := range hosts {
		p.place(i)
	}
	p.write("fleet.json", p.fleet.Encode())
	for i := range hosts {
		p.startHost(i)
	}
	for i := range hosts {
		p.awaitInForce(i, 1)
	}
	p.awaitClaimGroup()
	return p
}

func domainAt(i int) identifier.FailureDomain { return identifier.FailureDomain(domains[i : i+1]) }

// place completes the settings of host i.
func (p *partitioned) place(i int) {
	cfg := &p.settings[i]
	cfg.FailureDomain, cfg.Keepers = domainAt(i), []identifier.Host{hostName(0), hostName(1), hostName(2)}
	cfg.Hosts = slices.Clone(cfg.Hosts)
	for j := range cfg.Hosts {
		h := &cfg.Hosts[j]
		h.FailureDomain = domainAt(j)
		if domains[j] != domains[i] {
			h.Address = newLink(p.t, h.Address, p.ways[[2]int{i, j}], p.ways[[2]int{j, i}]).address()
		}
	}
	if i < keeperCount {
		cfg.DataFolder = filepath.Join(p.folder, fmt.Sprint("data", i))
		cfg.InitialFleet = filepath.Join(p.folder, "fleet.json")
	}
}

// awaitClaimGroup waits until every keeper knows the members of the claim group
// and has entries of it, so that a cut does not meet its founding.
func (p *partitioned) awaitClaimGroup() {
	p.t.Helper()
	for i := range keeperCount {
		p.await(fmt.Sprintf("the claim group at h%d", i), func() bool {
			n, _ := strconv.Atoi(p.metric(i, `cyclamen_keeper_commit_index{group="1"}`))
			return n > 0
		})
	}
}

// startHost starts host i, anew after it was killed.
func (p *partitioned) startHost(i int) {
	p.t.Helper()
	name := string(hostName(i))
	b, err := json.Marshal(p.settings[i])
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(name+".json", b)
	p.start(name, "cyclamend", "run", "--settings", filepath.Join(p.folder, name+".json"))
}

// setCut cuts or heals all that travels from the hosts of one domain to others
// (leaving) and from others to them (coming).
func (p *partitioned) setCut(domain byte, leaving, coming bool) {
	for pair, w := range p.ways {
		from, to := domains[pair[0]] == domain, domains[pair[1]] == domain
		switch {
		case from && !to:
			w.cut.Store(leaving)
		case to && !from:
			w.cut.Store(coming)
		}
	}
}

// lost returns how many bytes were lost on the ways from a domain and to it.
func (p *partitioned) lost(domain byte) (leaving, coming int64) {
	for pair, w := range p.ways {
		switch {
		case domains[pair[0]] == domain:
			leaving += w.lost.Load()
		case domains[pair[1]] == domain:
			coming += w.lost.Load()
		}
	}
	return leaving, coming
}

var inForceLine = regexp.MustCompile(`configuration in force" revision=(\d+)`)

// inForce returns the revisions that the present process of host i has put in
// force, in order.
func (p *partitioned) inForce(i int) []identifier.Revision {
	var revisions []identifier.Revision
	for _, m := range inForceLine.FindAllStringSubmatch(p.processes[string(hostName(i))].output(), -1) {
		n, _ := strconv.Atoi(m[1])
		revisions = append(revisions, identifier.Revision(n))
	}
	return revisions
}

// awaitInForce waits until host i runs revision want and checks that it never
// went back.
func (p *partitioned) awaitInForce(i int, want identifier.Revision) {
	p.t.Helper()
	p.await(fmt.Sprintf("revision %d at h%d", want, i), func() bool {
		p.checkRuns(string(hostName(i)))
		rs := p.inForce(i)
		return len(rs) > 0 && rs[len(rs)-1] >= want
	})
	p.checkInForce(i, want)
}

// checkInForce checks that host i runs revision want and never went back.
func (p *partitioned) checkInForce(i int, want identifier.Revision) {
	p.t.Helper()
	rs := p.inForce(i)
	if len(rs) == 0 || !slices.IsSorted(rs) || rs[len(rs)-1] != want {
		p.t.Errorf("h%d put revisions %v in force, want %d last and none twice back", i, rs, want)
	}
}

// leader returns the keeper that leads the control log, or -1.
func (p *partitioned) leader(of ...int) int {
	p.t.Helper()
	for _, i := range of {
		if p.metric(i, `cyclamen_keeper_leads{group="0"}`) == "1" {
			return i
		}
	}
	return -1
}

// operate makes an operator's call at a base URL and decodes its answer.
func (p *partitioned) operate(ctx context.Context, method, url string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+siteToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var f refuser.Refusal
		if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
			return err
		}
		return &f
	}
	return json.NewDecoder(res.Body).Decode(answer)
}

// operators returns the address that operators of host i use.
func (p *partitioned) operators(i int) string { return "http://" + p.settings[i].Operators.Listen }

// changeOf returns a change that differs from all under other ids.
func (p *partitioned) changeOf(id identifier.ChangeID, base identifier.Revision) administrator.Change {
	f := p.fleet
	f.Defaults.Limits.QueuedRequests = 1000 + int(base)
	return administrator.Change{ChangeID: id, Base: base, Reason: "a longer queue", Document: f.Encode()}
}

// change sends a change once, to the operators' address.
func (p *partitioned) change(ctx context.Context, url string, id identifier.ChangeID, base identifier.Revision) (administrator.Changed, error) {
	var c administrator.Changed
	err := p.operate(ctx, http.MethodPut, url+"/v1/config", p.changeOf(id, base), &c)
	return c, err
}

// mustChange sends a change to host i under one id until it is accepted.
func (p *partitioned) mustChange(i int, id identifier.ChangeID, base identifier.Revision) {
	p.t.Helper()
	var c administrator.Changed
	p.await(fmt.Sprintf("%s is accepted at h%d", id, i), func() bool {
		var err error
		c, err = p.change(p.t.Context(), p.operators(i), id, base)
		return err == nil
	})
	if c.Revision != base+1 {
		p.t.Errorf("%s became revision %d, want %d", id, c.Revision, base+1)
	}
}

// history returns the accepted changes that host i knows, newest first.
func (p *partitioned) history(i int) administrator.Audit {
	p.t.Helper()
	var a administrator.Audit
	p.await(fmt.Sprintf("the history at h%d", i), func() bool {
		return p.operate(p.t.Context(), http.MethodGet, p.operators(i)+"/v1/config/history", nil, &a) == nil
	})
	return a
}

// refusalIn returns the refusal in err or ends the test.
func (p *partitioned) refusalIn(err error) *refuser.Refusal {
	p.t.Helper()
	var f *refuser.Refusal
	if !errors.As(err, &f) {
		p.t.Fatalf("got %v, want a refusal", err)
	}
	return f
}

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

// hostDomains lists the failure domain of each host of a partitioned site, by
// host number. The first three hosts are keepers.
const hostDomains = "abca"

// keeperCount is the number of keepers of a partitioned site.
const keeperCount = 3

// partitionedSite is a site in which hosts of different failure domains connect
// to each other through links that can be cut.
type partitionedSite struct {
	*site
	directions map[[2]int]*direction
	engines    []string
	plain      []string
}

// newPartitioned starts a site in failure domains a, b and c with a keeper, an
// engine and a plain service in each. With four hosts, the last one is an entry
// host in failure domain a.
func newPartitioned(t *testing.T, hosts int) *partitionedSite {
	t.Helper()
	p := &partitionedSite{site: newSite(t, hosts), directions: make(map[[2]int]*direction)}
	for i := range keeperCount {
		p.engines = append(p.engines, p.startFake(i, configurer.ModelService, ""))
		p.plain = append(p.plain, p.startFake(keeperCount+i, configurer.PlainService, ""))
	}
	for i := range p.fleet.Defaults.BackendServers {
		p.fleet.Defaults.BackendServers[i].FailureDomain = domainAt(i / 2)
	}
	for i := range hosts {
		for j := range hosts {
			p.directions[[2]int{i, j}] = new(direction)
		}
	}
	for i := range hosts {
		p.configureHost(i)
	}
	p.write("fleet.json", p.fleet.Encode())
	for i := range hosts {
		p.startHost(i)
	}
	for i := range hosts {
		p.awaitApplied(i, 1)
	}
	p.awaitClaimGroup()
	return p
}

func domainAt(i int) identifier.FailureDomain { return identifier.FailureDomain(hostDomains[i : i+1]) }

// configureHost completes the settings of host i: its failure domain, the
// keepers and the links to hosts of other failure domains.
func (p *partitionedSite) configureHost(i int) {
	cfg := &p.settings[i]
	cfg.FailureDomain, cfg.Keepers = domainAt(i), []identifier.Host{hostName(0), hostName(1), hostName(2)}
	cfg.Hosts = slices.Clone(cfg.Hosts)
	for j := range cfg.Hosts {
		h := &cfg.Hosts[j]
		h.FailureDomain = domainAt(j)
		if hostDomains[j] != hostDomains[i] {
			h.Address = newLink(p.t, h.Address, p.directions[[2]int{i, j}], p.directions[[2]int{j, i}]).address()
		}
	}
	if i < keeperCount {
		cfg.DataFolder = filepath.Join(p.folder, fmt.Sprint("data", i))
		cfg.InitialFleet = filepath.Join(p.folder, "fleet.json")
	}
}

// awaitClaimGroup waits until every keeper knows the members of the claim group
// and has entries of it, so that a cut does not coincide with its bootstrap.
func (p *partitionedSite) awaitClaimGroup() {
	p.t.Helper()
	for i := range keeperCount {
		p.await(fmt.Sprintf("the claim group at h%d", i), func() bool {
			n, _ := strconv.Atoi(p.metric(i, `cyclamen_keeper_commit_index{group="1"}`))
			return n > 0
		})
	}
}

// startHost starts host i, or restarts it after it was killed.
func (p *partitionedSite) startHost(i int) {
	p.t.Helper()
	name := string(hostName(i))
	b, err := json.Marshal(p.settings[i])
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(name+".json", b)
	p.start(name, "cyclamend", "run", "--settings", filepath.Join(p.folder, name+".json"))
}

// setCut cuts or restores all traffic from the hosts of one failure domain to
// other hosts (outbound) and from other hosts to them (inbound).
func (p *partitionedSite) setCut(domain byte, outbound, inbound bool) {
	for pair, d := range p.directions {
		from, to := hostDomains[pair[0]] == domain, hostDomains[pair[1]] == domain
		switch {
		case from && !to:
			d.cut.Store(outbound)
		case to && !from:
			d.cut.Store(inbound)
		}
	}
}

// lost returns how many bytes were lost from a failure domain and to it.
func (p *partitionedSite) lost(domain byte) (outbound, inbound int64) {
	for pair, d := range p.directions {
		switch {
		case hostDomains[pair[0]] == domain:
			outbound += d.lost.Load()
		case hostDomains[pair[1]] == domain:
			inbound += d.lost.Load()
		}
	}
	return outbound, inbound
}

var appliedPattern = regexp.MustCompile(`configuration in force" revision=(\d+)`)

// appliedRevisions returns the revisions that the current process of host i has
// applied, in order, according to its log.
func (p *partitionedSite) appliedRevisions(i int) []identifier.Revision {
	var revisions []identifier.Revision
	for _, m := range appliedPattern.FindAllStringSubmatch(p.processes[string(hostName(i))].output(), -1) {
		n, _ := strconv.Atoi(m[1])
		revisions = append(revisions, identifier.Revision(n))
	}
	return revisions
}

// awaitApplied waits until host i has applied revision want and checks that it
// never reverted to an older one.
func (p *partitionedSite) awaitApplied(i int, want identifier.Revision) {
	p.t.Helper()
	p.await(fmt.Sprintf("revision %d at h%d", want, i), func() bool {
		p.checkRunning(string(hostName(i)))
		rs := p.appliedRevisions(i)
		return len(rs) > 0 && rs[len(rs)-1] >= want
	})
	p.checkApplied(i, want)
}

// checkApplied checks that host i applied revision want last and never reverted
// to an older one.
func (p *partitionedSite) checkApplied(i int, want identifier.Revision) {
	p.t.Helper()
	rs := p.appliedRevisions(i)
	if len(rs) == 0 || !slices.IsSorted(rs) || rs[len(rs)-1] != want {
		p.t.Errorf("h%d applied revisions %v, want ascending order with %d last", i, rs, want)
	}
}

// leader returns the candidate that leads the control log, or -1.
func (p *partitionedSite) leader(candidates ...int) int {
	p.t.Helper()
	for _, i := range candidates {
		if p.metric(i, `cyclamen_keeper_leads{group="0"}`) == "1" {
			return i
		}
	}
	return -1
}

// operate sends an operator's request and decodes the response. It returns a
// refusal as the error.
func (p *partitionedSite) operate(ctx context.Context, method, url string, body, response any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
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
	return json.NewDecoder(res.Body).Decode(response)
}

// operators returns the base URL of host i for operators.
func (p *partitionedSite) operators(i int) string { return "http://" + p.settings[i].Operators.Listen }

// newChange returns a change of the fleet document. Its content depends on base.
func (p *partitionedSite) newChange(id identifier.ChangeID, base identifier.Revision) administrator.ConfigurationChange {
	f := p.fleet
	f.Defaults.Limits.QueuedRequests = 1000 + int(base)
	return administrator.ConfigurationChange{ChangeID: id, Base: base, Reason: "a longer queue", Document: f.Encode()}
}

// change sends a change once, to an operators' base URL.
func (p *partitionedSite) change(ctx context.Context, url string, id identifier.ChangeID, base identifier.Revision) (administrator.ChangeResult, error) {
	var c administrator.ChangeResult
	err := p.operate(ctx, http.MethodPut, url+"/v1/config", p.newChange(id, base), &c)
	return c, err
}

// mustChange sends a change to host i, with the same id each time, until it is
// accepted.
func (p *partitionedSite) mustChange(i int, id identifier.ChangeID, base identifier.Revision) {
	p.t.Helper()
	var c administrator.ChangeResult
	p.await(fmt.Sprintf("%s is accepted at h%d", id, i), func() bool {
		var err error
		c, err = p.change(p.t.Context(), p.operators(i), id, base)
		return err == nil
	})
	if c.Revision != base+1 {
		p.t.Errorf("%s became revision %d, want %d", id, c.Revision, base+1)
	}
}

// history returns the accepted changes that host i has, newest first.
func (p *partitionedSite) history(i int) administrator.Audit {
	p.t.Helper()
	var a administrator.Audit
	p.await(fmt.Sprintf("the history at h%d", i), func() bool {
		return p.operate(p.t.Context(), http.MethodGet, p.operators(i)+"/v1/config/history", nil, &a) == nil
	})
	return a
}

// refusalIn returns the refusal in err, or fails the test if there is none.
func (p *partitionedSite) refusalIn(err error) *refuser.Refusal {
	p.t.Helper()
	var f *refuser.Refusal
	if !errors.As(err, &f) {
		p.t.Fatalf("got %v, want a refusal", err)
	}
	return f
}

package rig

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Host is the host name of all routes, and Key the key of the only tenant.
const (
	Host   = "app.example"
	Key    = "i9n73hh2b9wu3fexd9dn"
	Tenant = "hule930"
)

// The prefixes of the routes of Document.
const (
	Submit  = "/submit/"  // runs at most once
	Lookup  = "/lookup/"  // may be repeated
	Draft   = "/draft/"   // a stream that is not resumable
	Rewrite = "/rewrite/" // a stream that is resumable
)

// Names of the services of Document.
const (
	Model = "schrijfhulp"
	Desk  = "dossierbeheer"
)

// Document returns a document with two services and the routes of a small deployment.
func Document(version int) string {
	route := func(name, prefix, kind, service string, timeout, attempts int, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeType":%q,"timeoutMs":%d,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":%d,"anonymous":false%s}`,
			name, Host, prefix, kind, timeout, service, attempts, more)
	}
	routes := []string{
		route("r-submit", Submit, "non_idempotent", Desk, 3000, 1, ""),
		route("r-lookup", Lookup, "idempotent", Desk, 3000, 2, ""),
		route("r-draft", Draft, "streaming", Model, 10000, 1, `,"sticky":true,"resumable":false,"interTokenMs":400`),
		route("r-rewrite", Rewrite, "streaming", Model, 10000, 2, `,"sticky":true,"resumable":true,"interTokenMs":400`),
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[`+
		`{"name":%q,"healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":444000,"kvBytes":35136,"stride":8,"models":[{"name":"m"}]}},`+
		`{"name":%q,"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1,"unit":"token_count","uncachedTokens":200,"ratePerS":147487,"burst":147487}]}`,
		version, strings.Join(routes, ","), Model, Desk, Tenant, Key)
}

// operatorTimeout bounds one call of the operator, and storeTimeout the time until a document
// is acknowledged.
const (
	operatorTimeout = time.Second
	storeTimeout    = 15 * time.Second
)

// Store sends a document to one machine of the core after the other until one acknowledges it,
// and returns when that was.
func (r *Rig) Store(document string) (time.Time, error) {
	c := http.Client{Timeout: operatorTimeout}
	until := time.Now().Add(storeTimeout)
	for n := 0; time.Now().Before(until); n++ {
		k := r.keepers[n%len(r.keepers)]
		req, err := http.NewRequest(http.MethodPut, "http://"+k.Operators()+"/cyclamenhub/config", strings.NewReader(document))
		if err != nil {
			return time.Time{}, err
		}
		res, err := c.Do(req)
		if err == nil {
			b, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
			if res.StatusCode < http.StatusInternalServerError {
				return time.Time{}, fmt.Errorf("document refused with %d: %s", res.StatusCode, bytes.TrimSpace(b))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no machine of the core acknowledged the document within %v", storeTimeout)
}

// IsReady reports whether an entry host answers its readiness probe with 200.
func (m *Machine) IsReady() bool {
	c := http.Client{Timeout: operatorTimeout}
	res, err := c.Get("http://" + m.Readiness() + "/cyclamenhub/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

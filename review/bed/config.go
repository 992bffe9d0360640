package bed

import "encoding/json"

// Names in a Config.
const (
	Host    = "ficu95.example"
	Key     = "i9n73hh2b9wu3fexd9dn"
	Service = "huvo11a"
)

// Route is a route of a Config.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Anonymous       bool   `json:"anonymous"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	InterTokenMs    int    `json:"interTokenMs,omitempty"`
}

// Config is a config of the operator, with one service and one tenant.
type Config struct {
	Version int
	Routes  []Route
}

// encode returns the config as the operator sends it.
func (c Config) encode() string {
	for i := range c.Routes {
		c.Routes[i].Host, c.Routes[i].Service = Host, Service
	}
	// The parts of a config can always be encoded.
	text, _ := json.Marshal(map[string]any{
		"version": c.Version, "routes": c.Routes,
		"services": []any{map[string]any{"name": Service, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{Key}, "priority": 1, "unit": "requests", "ratePerS": 0, "burst": 0}},
	})
	return string(text)
}

package main

// Services and routes of the config of the cases.
const (
	serviceLedger = "filing-app"
	pathBook      = "/book/"
	pathLook      = "/look/"
	pathDraft     = "/draft/"
)

// putConfig writes a config as the operator does: three routes to one plain service, with the
// times of the requests on the users' sheets.
func (c *Case) putConfig(version int) {
	route := func(name, prefix, kind string, timeout, target int, more map[string]any) map[string]any {
		r := map[string]any{
			"name":            name,
			"host":            callerHost,
			"prefix":          prefix,
			"kind":            kind,
			"timeoutMs":       timeout,
			"targetLatencyMs": target,
			"priority":        2,
			"service":         serviceLedger,
			"maxAttempts":     1,
			"public":          false,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	c.Store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("r-book", pathBook, "unsafe", 1200, 150, nil),
			route("r-look", pathLook, "safe", 1200, 150, map[string]any{"maxAttempts": 2}),
			route("r-draft", pathDraft, "streaming", 8000, 400, map[string]any{
				"resumable":   true,
				"maxAttempts": 2,
				"gapAimMs":    120,
			}),
		},
		"services": []any{map[string]any{
			"name":           serviceLedger,
			"healthPath":     "/health",
			"maxConnections": 110,
			"protocol":       "h1",
			"tls":            false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4194304,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
		"tenants": []any{map[string]any{
			"name":     tenantName,
			"apiKeys":  []string{callerKey},
			"priority": 1,
		}},
	})
	c.Record.Add("config", "version", version)
}

package main

// Services and routes of the config of the cases.
const (
	serviceLedger = "filing-app"
	pathBook      = "/book/"
	pathLook      = "/look/"
	pathDraft     = "/draft/"
)

// engine returns the engine of the model service, as in the wire examples but for the shape of
// the group.
func engine() map[string]any {
	return map[string]any{
		"slots":            groupSlots,
		"kvCapacityTokens": 372000,
		"tokenKvBytes":     96256,
		"linkMbps":         180000.0,
		"stride":           5,
		"models":           []any{map[string]any{"name": "m"}},
		"step_ms":          5.85,
		"per_seq_ms":       0.355,
		"context_per_k":    0.036,
		"read_per_s":       61200.0,
		"pairs_per_m":      0.325,
		"chunk":            512,
		"report_lag_ms":    200.0,
		"sets":             groupSets,
		"experts":          groupExperts,
		"places":           groupPlaces,
		"spare":            3,
		"expertMb":         780.0,
		"expertShare":      0.85,
		"form_ms":          float64(formTime.Milliseconds()),
	}
}

// putConfig writes a config as the operator does: two routes to a plain service and one to a model
// group, with the times of the requests on the users' sheets.
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
				"service":         serviceDraft,
				"priority":        1,
				"resumable":       true,
				"sessionAffinity": true,
				"maxAttempts":     2,
				"gapAimMs":        120,
			}),
		},
		"services": []any{
			map[string]any{
				"name":           serviceLedger,
				"healthPath":     "/health",
				"maxConnections": 110,
				"protocol":       "h1",
				"tls":            false,
			},
			map[string]any{
				"name":           serviceDraft,
				"healthPath":     "/health",
				"maxConnections": 358,
				"protocol":       "h1",
				"tls":            false,
				"engine":         engine(),
			},
		},
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

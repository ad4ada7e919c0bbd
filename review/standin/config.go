package main

// Names of the deployment's example day.
const (
	host        = "ficu95.example"
	appService  = "xano55b"
	llmService  = "dele69a"
	confirmPath = "/puxa403/"
	stockPath   = "/cufi504/"
	counterPath = "/lohu930/"
)

// limits are those of the small site.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// configuration returns a configuration with the routes of Hayabusa's sheet.
func configuration(version int, sizes []modelSize) map[string]any {
	models := []any{}
	for _, m := range sizes {
		models = append(models, map[string]any{
			"name": m.name, "weights_mb": m.weights, "load_time_s": m.loadTime.Seconds(), "disk_s": m.diskTime.Seconds(), "adapters": 28,
			"adapter_size_mb": m.adapterMB,
		})
	}
	route := func(name, prefix, kind, service string, timeout, target, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": service, "max_attempts": attempts,
		}
	}
	counter := route("counter-fit", counterPath, "streaming", llmService, 15000, 400, 0, 2)
	counter["sticky"], counter["resumable"], counter["gap_target_ms"] = true, true, 250
	return map[string]any{
		"version": version, "limits": limits,
		"routes": []any{
			route("order-confirm", confirmPath, "non_idempotent", appService, 1000, 300, 2, 1),
			route("stock-check", stockPath, "idempotent", appService, 1000, 300, 2, 2),
			counter,
		},
		"services": []any{
			map[string]any{"name": appService, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			map[string]any{
				"name": llmService, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 154135, "kv_token_bytes": 327680, "hold_ms": 2000.0, "pin_ms": 4000.0, "handle_s": 5.0,
					"weights_mb": weightsMB, "adapter_slots": adapterSlots, "loads_per_s": 3.4, "models": models,
				},
			},
		},
	}
}

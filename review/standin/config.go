package main

// service is the name of the plain service of all cases.
const service = "orders"

// host is the host of all routes.
const host = "shop.example"

// config returns a version of the configuration with one route of a kind for /orders/ and a tenant
// that holds keys. timeout is the route's in ms.
func config(version int, kind string, timeout int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": host, "prefix": "/orders/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": 300, "priority": 2, "service": service, "attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": keys, "priority": 1}},
	}
}

// chatConfig returns a configuration with one resumable streaming route, to the service chat, whose model
// servers run some requests at a time.
func chatConfig(slots int) map[string]any {
	c := config(1, "streaming", 25000, []string{"key-1"})
	c["routes"] = []any{map[string]any{
		"name": "r-chat", "host": host, "prefix": "/chat/", "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 3000,
		"target_itl_ms": 1200, "priority": 0, "service": "chat", "attempts": 3, "public": false, "sticky": true, "resumable": true,
	}}
	c["services"] = []any{map[string]any{
		"name": "chat", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"runtime": map[string]any{
			"slots": slots, "kv_capacity": 449441, "kv_token_bytes": 35136, "bandwidth_mbps": 1100000.0,
			"model_list": []any{map[string]any{"name": "model-a", "cost": 0.016}},
		},
	}}
	return c
}

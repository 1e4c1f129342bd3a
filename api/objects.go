package api

// Role is the stage of requests that an engine runs. An order can change it.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// RoleChanges is the policy for applying the role changes that the load of a pool requires.
type RoleChanges string

// The policies for role changes.
const (
	// RoleChangesAdvise only reports them to the operators. It is the default.
	RoleChangesAdvise RoleChanges = "advise"
	// RoleChangesApply lets the pool's owner plan and confirm them.
	RoleChangesApply RoleChanges = "apply"
)

// Tenant is one customer of the shared service.
type Tenant struct {
	// Name identifies the tenant; it is a DNS label.
	Name string `json:"name"`
	// TokenHashes are the hex SHA-256 digests of the bearer tokens it may use.
	TokenHashes []string `json:"token_hashes"`
	// Classes are the request classes it may use; the first is the default.
	Classes []string `json:"classes,omitempty"`
	// Services are the plain services it may call.
	Services []string `json:"services,omitempty"`
	// Weight is its relative share under contention. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxConcurrent bounds its requests in flight at one entry node. Default 256.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Class is a kind of request with its latency targets.
type Class struct {
	// Name identifies the class; it is a DNS label.
	Name string `json:"name"`
	// Model is the model that serves it.
	Model string `json:"model"`
	// FirstToken is the target for the time to the first token.
	FirstToken Duration `json:"first_token"`
	// TokenInterval is the target for the time between tokens.
	TokenInterval Duration `json:"token_interval"`
	// MaxPromptTokens bounds the prompt. Default 65536.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens bounds the output. Default 1024.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// LateAllowed admits a request although its first-token target cannot be met.
	LateAllowed bool `json:"late_allowed,omitempty"`
	// Priority is passed to the engine; a higher number is scheduled first.
	Priority int `json:"priority,omitempty"`
}

// Pool is a bounded set of prefill and decode engines of one model in one zone.
// A pool is the unit of ownership: one node at a time grants work to its engines.
type Pool struct {
	// Name identifies the pool; it is a DNS label.
	Name string `json:"name"`
	// Model is the model its engines serve.
	Model string `json:"model"`
	// Zone is the zone of its engines.
	Zone string `json:"zone"`
	// ChecksFencingToken states that its engines reject an order with a stale fencing token.
	ChecksFencingToken bool `json:"checks_fence,omitempty"`
	// Hold is how long an engine keeps a prefill result. Default 5s.
	Hold Duration `json:"hold,omitempty"`
	// PrefillTokensPerSecond is the throughput of one prefill engine. Default 20000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// LinkTokensPerSecond is the KV transfer rate of one link. Default 200000.
	LinkTokensPerSecond float64 `json:"link_tokens_per_second,omitempty"`
	// StepTime is the interval between tokens of a decode engine with a full batch. Default 20ms.
	StepTime Duration `json:"step_time,omitempty"`
	// RoleChanges is the policy for role changes. Default "advise".
	RoleChanges RoleChanges `json:"role_changes,omitempty"`
	// Engines are its members.
	Engines []Engine `json:"engines"`
}

// Engine is one model engine.
type Engine struct {
	// Name identifies the engine; it is a DNS label, unique over all pools.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address string `json:"address"`
	// Role is its configured role.
	Role Role `json:"role"`
	// Slots is the number of requests it decodes concurrently. Default 32.
	Slots int `json:"slots,omitempty"`
	// KVTokens is its KV-cache memory in tokens. Default 400000.
	KVTokens int `json:"kv_tokens,omitempty"`
	// Adapters are the adapters it loads.
	Adapters []string `json:"adapters,omitempty"`
	// ModelVersion is the version of the model it loads.
	ModelVersion string `json:"model_version,omitempty"`
}

// Service is a plain HTTP service behind the router.
type Service struct {
	// Name identifies the service; it is a DNS label.
	Name string `json:"name"`
	// Backends are its replicas.
	Backends []Backend `json:"backends"`
	// NonIdempotentMethods are the HTTP methods whose calls must not be retried. Default POST and PATCH.
	NonIdempotentMethods []string `json:"once_methods,omitempty"`
	// Timeout bounds one call. Default 10s.
	Timeout Duration `json:"timeout,omitempty"`
}

// Backend is one replica of a plain service.
type Backend struct {
	// Name identifies the replica; it is a DNS label.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address string `json:"address"`
}

// Configuration is the set of all objects that operators have confirmed.
type Configuration struct {
	// Version increases by one with each accepted change.
	Version uint64 `json:"version,omitempty"`
	// Tenants, Classes, Pools and Services are the objects, ordered by name.
	Tenants  []Tenant  `json:"tenants,omitempty"`
	Classes  []Class   `json:"classes,omitempty"`
	Pools    []Pool    `json:"pools,omitempty"`
	Services []Service `json:"services,omitempty"`
}

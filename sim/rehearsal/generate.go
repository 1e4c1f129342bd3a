package rehearsal

import (
	"fmt"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/sim/enginesim"
)

// longOutput is the maximum number of output tokens of the long classes.
const longOutput = 20000

// Shape is the size of a generated configuration.
type Shape struct {
	Zones []string
	// Models is the number of models, each with PoolsPerModel pools in different
	// zones.
	Models        int
	PoolsPerModel int
	// EnginesPerPool is the number of engines of a pool, alternately prefill and
	// decode engines.
	EnginesPerPool int
	Tenants        int
	Services       int
	// ChecksFencingToken is set if the engines check fencing tokens.
	ChecksFencingToken bool
}

// Token returns the bearer token of a generated tenant.
func Token(tenant int) string { return fmt.Sprintf("token-%d", tenant) }

// Generate returns a configuration of the given shape. Each tenant may use the
// classes of one model: a short one, whose output ends with the prefill, and a long
// one.
func Generate(shape Shape) api.Configuration {
	var generated api.Configuration
	var classes []string
	engines := 0
	for model := range shape.Models {
		name := fmt.Sprintf("model-%d", model)
		short, long := fmt.Sprintf("short-%d", model), fmt.Sprintf("long-%d", model)
		generated.Classes = append(generated.Classes,
			api.Class{Name: short, Model: name, FirstToken: api.Duration(1500 * time.Millisecond), TokenInterval: api.Duration(50 * time.Millisecond), MaxOutputTokens: 1},
			api.Class{Name: long, Model: name, FirstToken: api.Duration(1500 * time.Millisecond), TokenInterval: api.Duration(50 * time.Millisecond), MaxOutputTokens: longOutput},
		)
		classes = append(classes, long, short)
		for number := range shape.PoolsPerModel {
			zone := shape.Zones[(model+number)%len(shape.Zones)]
			pool := api.Pool{Name: fmt.Sprintf("pool-%d-%d", model, number), Model: name, Zone: zone, ChecksFencingToken: shape.ChecksFencingToken}
			for member := range shape.EnginesPerPool {
				role := []api.Role{api.RolePrefill, api.RoleDecode}[member%2]
				pool.Engines = append(pool.Engines, api.Engine{
					Name: fmt.Sprintf("engine-%d", engines), Address: fmt.Sprintf("10.100.%d.%d:80", engines/250, engines%250+1), Role: role,
				})
				engines++
			}
			generated.Pools = append(generated.Pools, pool)
		}
	}
	var services []string
	for number := range shape.Services {
		name := fmt.Sprintf("service-%d", number)
		services = append(services, name)
		generated.Services = append(generated.Services, api.Service{Name: name, Backends: []api.Backend{
			{Name: name + "-a", Address: fmt.Sprintf("10.200.%d.1:80", number)},
			{Name: name + "-b", Address: fmt.Sprintf("10.200.%d.2:80", number)},
		}})
	}
	for number := range shape.Tenants {
		generated.Tenants = append(generated.Tenants, api.Tenant{
			Name: fmt.Sprintf("tenant-%d", number), TokenHashes: []string{configuration.HashToken(Token(number))},
			Classes: classesOf(classes, number), Services: services,
		})
	}
	return generated
}

// classesOf returns the classes of a tenant, which are those of one model.
func classesOf(classes []string, tenant int) []string {
	const classesPerModel = 2
	first := tenant * classesPerModel % len(classes)
	return classes[first : first+classesPerModel]
}

// EngineOptions returns options of stand-in engines that match the defaults of a
// configuration.
func EngineOptions() enginesim.Options {
	const retention, cacheBlocks = 5 * time.Second, 4096
	return enginesim.Options{
		Slots: api.DefaultSlots, KVTokens: api.DefaultKVTokens, PrefillTokensPerSecond: api.DefaultPrefillTokensPerSecond,
		StepTime: api.DefaultStepTime, LinkTokensPerSecond: api.DefaultLinkTokensPerSecond, Hold: api.DefaultHold,
		StreamRetention: retention, LoadLag: 500 * time.Millisecond, CacheBlocks: cacheBlocks, CacheDelay: time.Second, CacheGapEvery: 17,
	}
}
